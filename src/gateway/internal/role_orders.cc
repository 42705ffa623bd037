#include "gateway/internal/role_orders.h"

#include <memory>
#include <optional>
#include <utility>

namespace acacialug::gateway {
namespace {

constexpr Duration kInterval = 500ms;
// From the decision to switch an endpoint to the order: peers hear meanwhile
// that it takes no work. Else each of them finds out by a refusal, and those
// use up the repeat budget.
constexpr Duration kPauseSpreads = 200ms;

}  // namespace

RoleOrders::RoleOrders(Options order_options, RelayContext& relay_context)
    : options(std::move(order_options)), context(relay_context) {}

void RoleOrders::Start() {
  this->context.alarms.Set(this->Now() + kInterval, [this] { this->Look(); });
}

void RoleOrders::Look() {
  this->Start();
  this->WatchSwitches();
  this->ClaimIfNeeded();
}

void RoleOrders::ForEachPlanner(
    const std::function<void(const ServiceName& service,
                             const EngineTraits& engine,
                             RolePlanner& planner)>& visit) {
  const RouteTable* const routes = this->options.routes();
  if (routes == nullptr) {
    return;
  }
  for (auto& [service, planner] : this->planners) {
    const ServiceTraits* const traits = routes->FindService(service);
    if (traits != nullptr && traits->engine) {
      visit(service, *traits->engine, planner);
    }
  }
}

void RoleOrders::WatchSwitches() {
  this->ForEachPlanner([this](const ServiceName& service,
                              const EngineTraits& engine,
                              RolePlanner& planner) {
    planner.Watch(engine, this->context.catalog.Of(service), this->context.book,
                  this->Now());
  });
  this->PauseSwitching();
}

// Here; the peers hear of it by the next heartbeat.
void RoleOrders::PauseSwitching() {
  for (const EndpointPause& pause : this->Pauses()) {
    this->context.health.NotePause(pause.endpoint_key,
                                   this->Now() + pause.left);
  }
}

void RoleOrders::NoteRequest(const ServiceName& service,
                             const GenerationSize& size) {
  this->planners.try_emplace(service, RolePlanner::Options{})
      .first->second.NoteRequest(size);
}

forecast::RequestSizes RoleOrders::SizesOf(const ServiceName& service) const {
  const auto planner = this->planners.find(service);
  return planner == this->planners.end() ? forecast::RequestSizes{}
                                         : planner->second.own_sizes();
}

void RoleOrders::NotePeer(const ServiceName& service,
                          const std::string& peer,
                          const forecast::RequestSizes& sizes) {
  if (sizes.requests > 0) {
    this->planners.try_emplace(service, RolePlanner::Options{})
        .first->second.NotePeer(peer, sizes, this->Now());
  }
}

void RoleOrders::SetFirst(bool first) {
  this->turn.SetFirst(first, this->Now());
}

std::vector<EndpointPause> RoleOrders::Pauses() const {
  std::vector<EndpointPause> pauses;
  for (const auto& [service, planner] : this->planners) {
    const auto more = planner.Pauses(this->Now());
    pauses.insert(pauses.end(), more.begin(), more.end());
  }
  return pauses;
}

void RoleOrders::ClaimIfNeeded() {
  if (!this->context.hooks.claim_turn || !this->turn.MayClaim(this->Now()) ||
      this->Plan().empty()) {
    return;
  }
  this->turn.NoteClaiming(this->Now());
  this->context.hooks.claim_turn([this](std::optional<TurnClaim> claim) {
    if (const auto fence = this->turn.OnClaim(claim, this->Now())) {
      this->GiveOrders(*fence);
    }
  });
}

std::vector<RoleOrders::PlannedChange> RoleOrders::Plan() {
  std::vector<PlannedChange> planned;
  this->ForEachPlanner([this, &planned](const ServiceName& service,
                                        const EngineTraits& engine,
                                        RolePlanner& planner) {
    for (RoleChange& change :
         planner.Plan(engine, this->options.forecast(service),
                      this->context.catalog.Of(service), this->context.book,
                      this->Now())) {
      planned.push_back(
          {.engine = engine, .planner = &planner, .change = std::move(change)});
    }
  });
  return planned;
}

void RoleOrders::GiveOrders(std::uint64_t fence) {
  for (const PlannedChange& planned : this->Plan()) {
    // Also if the order is lost: it may be carried out late.
    planned.planner->NoteOrdered(planned.change, planned.engine, this->Now());
    this->context.alarms.Set(this->Now() + kPauseSpreads,
                             [this, change = planned.change, fence] {
                               this->AskBeforeOrder(change, fence);
                             });
  }
  this->PauseSwitching();
  this->context.hooks.on_pauses_changed();
}

void RoleOrders::AskBeforeOrder(const RoleChange& change, std::uint64_t fence) {
  this->context.hooks.send(
      change.endpoint.address,
      this->context.dialect.write_report(change.endpoint),
      {.on_end =
           [this, change, fence](const std::string& body) {
             const auto accepted =
                 this->context.dialect.read_accepted_orders(body);
             if (accepted) {
               this->SendOrder(change, fence, *accepted);
             } else {
               this->NoteOrder(change, fence, "unreadable report");
             }
           },
       .on_error =
           [this, change, fence](const Error& error, bool) {
             this->NoteOrder(change, fence, "no report: " + error.detail);
           }});
}

void RoleOrders::SendOrder(const RoleChange& change,
                           std::uint64_t fence,
                           std::uint64_t accepted) {
  auto status = std::make_shared<int>(0);
  this->context.hooks.send(
      change.endpoint.address,
      this->context.dialect.write_role_order(
          change.endpoint, change.role, this->options.holder, fence, accepted),
      {.on_head = [status](int answered,
                           const http::Headers&) { *status = answered; },
       .on_end =
           [this, status, change, fence](const std::string&) {
             this->NoteOrder(change, fence, std::to_string(*status));
           },
       .on_error =
           [this, change, fence](const Error& error, bool) {
             this->NoteOrder(change, fence, "lost: " + error.detail);
           }});
}

void RoleOrders::NoteOrder(const RoleChange& change,
                           std::uint64_t fence,
                           std::string result) {
  const forecast::ServiceForecast& forecast =
      this->options.forecast(change.endpoint.service);
  const forecast::ReportedValue prompt_token =
      forecast.ForFigure(forecast::Figure::kPrefillTokenMs);
  this->context.hooks.note(
      log::Level::kInfo, "role_ordered",
      {.endpoint = change.endpoint.id,
       .fields = {{"role", NameOf(kEndpointRoleNames, change.role)},
                  {"fence", fence},
                  {"result", std::move(result)},
                  {"prefill_share", change.share},
                  {"prompt_token_us", prompt_token.value * 1000},
                  {"observations", prompt_token.observations},
                  {"token_ms", forecast.TokenMs()}}});
}

}  // namespace acacialug::gateway
