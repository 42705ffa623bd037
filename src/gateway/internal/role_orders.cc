#include "gateway/internal/role_orders.h"

#include <memory>
#include <optional>
#include <utility>

namespace acacialug::gateway {
namespace {

constexpr int kOk = 200;
constexpr Duration kPollInterval = 500ms;
// Delay from the decision to switch an endpoint to the order. Meanwhile peers
// receive the report that the endpoint takes no work; otherwise each of them
// would find out by a refusal, and the refusals use up the repeat budget.
constexpr Duration kPauseSpreadTime = 200ms;

}  // namespace

RoleOrders::RoleOrders(Options order_options, RelayContext& relay_context)
    : options(std::move(order_options)), context(relay_context) {}

void RoleOrders::Start() {
  this->context.timers.Set(this->Now() + kPollInterval,
                           [this] { this->Poll(); });
}

void RoleOrders::Poll() {
  this->Start();
  this->WatchSwitches();
  this->AcquireTermIfNeeded();
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
    const auto endpoints = this->context.catalog.ForService(service);
    planner.Watch(engine, endpoints, this->context.load_table, this->Now());
    planner.NoteNeed(engine, this->options.forecast(service), endpoints.size(),
                     this->Now());
  });
  this->PauseSwitching();
}

// Pauses the endpoints at this process; the next heartbeat reports the pauses
// to the peers.
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
  this->leader_term.SetFirst(first, this->Now());
}

std::vector<EndpointPause> RoleOrders::Pauses() const {
  std::vector<EndpointPause> pauses;
  for (const auto& [service, planner] : this->planners) {
    const auto more = planner.Pauses(this->Now());
    pauses.insert(pauses.end(), more.begin(), more.end());
  }
  return pauses;
}

void RoleOrders::AcquireTermIfNeeded() {
  if (!this->context.hooks.acquire_term ||
      !this->leader_term.MayAcquire(this->Now()) || this->Plan().empty()) {
    return;
  }
  this->leader_term.NoteAcquiring(this->Now());
  this->context.hooks.acquire_term([this](std::optional<TermGrant> grant) {
    if (const auto fencing_token =
            this->leader_term.OnGrant(grant, this->Now())) {
      this->SendOrders(*fencing_token);
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
                      this->context.catalog.ForService(service),
                      this->context.load_table, this->Now())) {
      planned.push_back(
          {.engine = engine, .planner = &planner, .change = std::move(change)});
    }
  });
  return planned;
}

void RoleOrders::SendOrders(std::uint64_t fencing_token) {
  for (const PlannedChange& planned : this->Plan()) {
    // Recorded even if the order is lost, since it may be carried out late.
    planned.planner->NoteOrdered(planned.change, planned.engine, this->Now());
    this->context.timers.Set(this->Now() + kPauseSpreadTime,
                             [this, change = planned.change, fencing_token] {
                               this->FetchReportThenOrder(change,
                                                          fencing_token);
                             });
  }
  this->PauseSwitching();
  this->context.hooks.on_pauses_changed();
}

bool RoleOrders::MayOrder(const RoleChange& change,
                          std::uint64_t fencing_token) {
  const bool may = this->leader_term.MayOrder(fencing_token, this->Now());
  if (!may) {
    this->LogOrder(change, fencing_token, "not sent: the term is over");
  }
  return may;
}

void RoleOrders::FetchReportThenOrder(const RoleChange& change,
                                      std::uint64_t fencing_token) {
  if (!this->MayOrder(change, fencing_token)) {
    return;
  }
  if (this->context.health.Resting(change.endpoint.id, this->Now())) {
    this->LogOrder(change, fencing_token, "not sent: the endpoint rests");
    return;
  }
  auto status = std::make_shared<int>(0);
  this->context.sender.Send(
      change.endpoint, this->context.dialect.write_report(change.endpoint),
      {.on_head = [status](int answered,
                           const http::Headers&) { *status = answered; },
       .on_end =
           [this, status, change, fencing_token](const std::string& body) {
             const auto accepted =
                 *status == kOk
                     ? this->context.dialect.read_accepted_orders(body)
                     : std::nullopt;
             if (accepted) {
               this->SendOrder(change, fencing_token, *accepted);
             } else {
               this->LogOrder(change, fencing_token, "unreadable report");
             }
           },
       .on_error =
           [this, change, fencing_token](const Error& error, bool) {
             this->LogOrder(change, fencing_token,
                            "no report: " + error.detail);
           }});
}

void RoleOrders::SendOrder(const RoleChange& change,
                           std::uint64_t fencing_token,
                           std::uint64_t accepted) {
  if (!this->MayOrder(change, fencing_token)) {
    return;
  }
  auto status = std::make_shared<int>(0);
  this->context.sender.Send(
      change.endpoint,
      this->context.dialect.write_role_order(change.endpoint, change.role,
                                             this->options.holder,
                                             fencing_token, accepted),
      {.on_head = [status](int answered,
                           const http::Headers&) { *status = answered; },
       .on_end =
           [this, status, change, fencing_token](const std::string&) {
             this->LogOrder(change, fencing_token, std::to_string(*status));
           },
       .on_error =
           [this, change, fencing_token](const Error& error, bool) {
             this->LogOrder(change, fencing_token, "lost: " + error.detail);
           }});
}

void RoleOrders::LogOrder(const RoleChange& change,
                          std::uint64_t fencing_token,
                          std::string result) {
  const forecast::ServiceForecast& forecast =
      this->options.forecast(change.endpoint.service);
  const forecast::ReportedValue prompt_token =
      forecast.ForFigure(forecast::Figure::kPrefillTokenMs);
  this->context.hooks.log(
      log::Level::kInfo, "role_ordered",
      {.endpoint = change.endpoint.id,
       .fields = {{"role", NameOf(kEndpointRoleNames, change.role)},
                  {"fence", fencing_token},
                  {"result", std::move(result)},
                  {"prefill_share", change.share},
                  {"prompt_token_us", prompt_token.value * 1000},
                  {"observations", prompt_token.observations},
                  {"token_ms", forecast.TokenMs()}}});
}

}  // namespace acacialug::gateway
