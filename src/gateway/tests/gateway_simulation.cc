#include "gateway/tests/gateway_simulation.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <iterator>
#include <sstream>
#include <tuple>
#include <utility>

#include "gateway/key_digest.h"

namespace acacialug::gateway::testing {
namespace {

std::string Text(const http::Headers& headers, std::string_view name) {
  return std::string(http::FindHeader(headers, name).value_or(""));
}

Route MakeRoute(std::string path, WorkKind kind, std::uint32_t endpoints) {
  const bool stream = IsStream(kind);
  return {.name = path,
          .host = "h.example",
          .path_prefix = std::move(path),
          .kind = kind,
          .services = {{.service = ServiceName(stream ? "model" : "plain")}},
          .max_endpoints = endpoints,
          .priority = 1,
          .timeout = stream ? Duration(14s) : Duration(1200ms),
          .objective = stream ? Duration(900ms) : Duration(150ms)};
}

}  // namespace

std::string HeaderOf(const std::shared_ptr<Call>& call, std::string_view name) {
  return Text(call->request.headers, name);
}

class GatewaySimulation::FakeResponder : public http::Responder {
 public:
  FakeResponder(std::shared_ptr<Answer> caller_answer, const Instant& clock)
      : answer(std::move(caller_answer)), now(clock) {}

  void SendWhole(const http::Response& response) override {
    CPPUNIT_ASSERT_MESSAGE("answered twice", !this->answer->ended);
    this->answer->status = response.status;
    this->answer->body = response.body;
    this->answer->unframed = response.unframed;
    this->answer->retry_after = Text(response.headers, "Retry-After");
    this->answer->first_byte_at = this->now;
    this->Finish();
  }
  void BeginStream(int status, const http::Headers& /*headers*/) override {
    CPPUNIT_ASSERT_EQUAL_MESSAGE("began twice", 0, this->answer->status);
    this->answer->status = status;
    this->answer->first_byte_at = this->now;
  }
  void BeginUnframedStream(int status, const http::Headers& headers) override {
    this->BeginStream(status, headers);
    this->answer->unframed = true;
  }
  void SendData(std::string_view data) override { this->answer->body += data; }
  void EndStream() override { this->Finish(); }
  void Abort() override {
    this->answer->cut = true;
    this->Finish();
  }
  bool gone() const override { return false; }
  std::size_t unsent_bytes() const override { return 0; }
  void SetOnGone(std::function<void()> on_gone) override {
    this->gone_hook = std::move(on_gone);
  }
  void SetOnDrained(std::function<void()> /*on_drained*/) override {}

  void Disconnect() {
    if (const auto hook = std::exchange(this->gone_hook, nullptr)) {
      hook();
    }
  }

 private:
  void Finish() {
    this->answer->ended = true;
    this->answer->ended_at = this->now;
  }

  std::shared_ptr<Answer> answer;
  const Instant& now;
  std::function<void()> gone_hook;
};

GatewaySimulation::GatewaySimulation(double repeat_extra,
                                     const std::string& id,
                                     std::optional<Instant> started_at)
    : now(started_at.value_or(Instant(1h))) {
  this->core = std::make_unique<GatewayCore>(
      GatewayCore::Options{.id = id,
                           .domain = FailureDomain("a"),
                           .repeat_extra = repeat_extra,
                           .started_at = started_at.value_or(Instant{}),
                           .hooks = this->Hooks(),
                           .dialect = Dialect()},
      this->random);
  if (!started_at) {
    this->core->SetPeers(0, false);
  }
}

GatewayHooks GatewaySimulation::Hooks() {
  return {
      .now = [this] { return this->now; },
      .send =
          [this](const http::Address& address, const http::Request& request,
                 http::ExchangeHooks hooks, const http::SendOptions& options) {
            if (request.method == "DELETE") {
              this->released.push_back(request.target);
              return ++this->last_exchange;
            }
            this->calls.push_back(
                std::make_shared<Call>(Call{.id = ++this->last_exchange,
                                            .address = address,
                                            .request = request,
                                            .hooks = std::move(hooks),
                                            .options = options}));
            if (this->on_call) {
              this->on_call(this->calls.back());
            }
            return this->last_exchange;
          },
      .cancel =
          [this](http::Client::ExchangeId exchange) {
            for (const auto& call : this->calls) {
              if (call->id == exchange) {
                call->cancelled = true;
                call->hooks = {};
              }
            }
          },
      .end_sending =
          [this](http::Client::ExchangeId exchange) {
            for (const auto& call : this->calls) {
              call->left = call->left || call->id == exchange;
            }
          },
      .drop_idle = [](const http::Address&) {},
      .wake_at = [](Instant) {},
      .on_stall = [this](Duration up_to) { this->stalled_for += up_to; },
      .on_load_changed = [] {},
      .on_pauses_changed =
          [this] { this->pauses_reported = this->core->OwnPauses().size(); },
      .acquire_term =
          [this](const std::function<void(std::optional<TermGrant>)>& on_done) {
            on_done(this->term_grant);
            if (this->term_grant) {
              ++this->term_grant->fencing_token;
            }
          },
      .on_quarantine =
          [this](const retry::CrashRecord& record) {
            if (this->on_quarantine) {
              this->on_quarantine(record);
            }
          },
      .send_origins =
          [this](const std::string& peer,
                 const origin::OriginMessage& message) {
            if (this->on_origins) {
              this->on_origins(peer, message);
            }
          },
      .record_versions =
          [this](const origin::VersionRecord& record) {
            if (this->on_versions) {
              this->on_versions(record);
            }
          },
      .log = [this](log::Level, std::string_view event,
                    const log::Record&) { this->events.emplace_back(event); },
      .on_end = [](const Route&, const RelayOutcome&) {}};
}

EndpointDialect GatewaySimulation::Dialect() {
  EndpointDialect dialect;
  dialect.read_request = [](http::Request request) {
    WorkRequest work{.id = Text(request.headers, "Id"),
                     .host = Text(request.headers, "Host")};
    const std::string size = Text(request.headers, "Size");
    const std::size_t comma = size.find(',');
    if (comma != std::string::npos) {
      const auto output =
          static_cast<std::uint64_t>(std::stoull(size.substr(comma + 1)));
      work.size = GenerationSize{.prompt_tokens = static_cast<std::uint64_t>(
                                     std::stoull(size.substr(0, comma))),
                                 .max_output_tokens = output,
                                 .expected_output_tokens = output};
    }
    const std::string deadline = Text(request.headers, "Deadline");
    if (!deadline.empty()) {
      work.deadline = std::chrono::milliseconds(std::stoi(deadline));
    }
    std::istringstream parts(Text(request.headers, "Parts"));
    work.prompt_parts.assign(std::istream_iterator<std::string>(parts), {});
    work.resumed_attempt = Text(request.headers, "Resumed");
    const std::string last_event = Text(request.headers, "Last-Event");
    if (!last_event.empty()) {
      work.resume_after = std::stoull(last_event);
    }
    if (const auto key = http::FindHeader(request.headers, "Key")) {
      work.key = DigestOf(*key);
      std::erase_if(request.headers, [](const http::Header& header) {
        return header.name == "Key";
      });
    }
    work.message = std::move(request);
    return work;
  };
  dialect.write_work = [](const WorkRequest& request, const EndpointRecord&,
                          const WorkOrder& order) {
    http::Request message = request.message;
    message.headers.push_back(
        {"Step", std::string(NameOf(kWorkStepNames, order.step))});
    message.headers.push_back({"Customer", request.customer.text});
    message.headers.push_back({"Reservation", order.reservation});
    message.headers.push_back({"Export", order.export_name});
    message.headers.push_back(
        {"Left", std::to_string(order.time_left.count() / 1000)});
    if (order.resume_after) {
      message.headers.push_back(
          {"Resume-After", std::to_string(*order.resume_after)});
    }
    return message;
  };
  dialect.judge_answer = [](const WorkRequest& request, WorkStep step,
                            int status, const http::Headers& headers) {
    const std::string id = Text(headers, "Id");
    if (!id.empty() && id != request.id) {
      return AnswerNature::kForeign;
    }
    if (!Text(headers, "Other").empty()) {
      return AnswerNature::kMisplaced;
    }
    if (!Text(headers, "Refused").empty()) {
      return AnswerNature::kNotRun;
    }
    if (Text(headers, "Proof").empty() && step != WorkStep::kPrefill) {
      return AnswerNature::kUnproven;
    }
    return status < 300 ? AnswerNature::kSuccess : AnswerNature::kFailure;
  };
  dialect.answers_request = [](const http::Headers& headers) {
    return !Text(headers, "Id").empty();
  };
  dialect.read_advice = [](int /*status*/, const http::Headers& headers) {
    const std::string rest = Text(headers, "Rest");
    const std::string limit = Text(headers, "Limit");
    EndpointAdvice advice;
    if (!limit.empty()) {
      advice.max_rate = std::stod(limit);
    }
    advice.leaving = !Text(headers, "Leaving").empty();
    if (!rest.empty()) {
      advice.rest = FromSeconds(std::stod(rest));
    }
    return advice;
  };
  dialect.read_export = [](std::string_view body) {
    return body.empty()
               ? std::nullopt
               : std::optional(PrefillExport{.name = std::string(body),
                                             .trusted = body != "spoiled"});
  };
  dialect.write_reserve = [](const EndpointRecord&, std::uint64_t tokens,
                             Duration /*lifetime*/) {
    return http::Request{.method = "POST",
                         .target = "/reserve/" + std::to_string(tokens)};
  };
  dialect.read_reservation = [](int status, std::string_view body) {
    return status == 200 ? std::optional(std::string(body)) : std::nullopt;
  };
  dialect.write_unreserve = [](std::string_view name) {
    return http::Request{.method = "DELETE",
                         .target = "/reserve/" + std::string(name)};
  };
  dialect.write_release = [](std::string_view name) {
    return http::Request{.method = "DELETE",
                         .target = "/export/" + std::string(name)};
  };
  dialect.write_report = [](const EndpointRecord&) {
    return http::Request{.method = "GET", .target = "/report"};
  };
  dialect.read_run_report = [](std::string_view body,
                               std::string_view request) {
    constexpr std::string_view kStart = "started ";
    const std::size_t start = body.find(kStart);
    return body.starts_with("<")
               ? std::nullopt
               : std::optional(RunReport{
                     .lists_run = body.find(request) != std::string_view::npos,
                     .started_at_ms = start == std::string_view::npos
                                          ? 0
                                          : std::stoll(std::string(body.substr(
                                                start + kStart.size())))});
  };
  dialect.read_accepted_orders = [](std::string_view body) {
    return std::optional<std::uint64_t>(std::stoull(std::string(body)));
  };
  dialect.write_role_order =
      [](const EndpointRecord&, EndpointRole role, std::string_view holder,
         std::uint64_t fencing_token, std::uint64_t accepted) {
        return http::Request{
            .method = "POST",
            .target = "/order",
            .body = std::string(NameOf(kEndpointRoleNames, role)) + " " +
                    std::string(holder) + " " + std::to_string(fencing_token) +
                    " " + std::to_string(accepted)};
      };
  return dialect;
}

void GatewaySimulation::Configure(
    std::optional<std::vector<Customer>> customers) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = ++this->version;
  configuration->offset = LogOffset(this->version);
  configuration->customers = std::move(customers);
  configuration->routes = {
      MakeRoute("/resumable/", WorkKind::kResumableStream, 2),
      MakeRoute("/stream/", WorkKind::kStream, 1),
      MakeRoute("/idempotent/", WorkKind::kIdempotent, 2),
      MakeRoute("/open/", WorkKind::kIdempotent, 2),
      MakeRoute("/once/", WorkKind::kNonIdempotent, 1)};
  configuration->routes.push_back(
      MakeRoute("/split/", WorkKind::kResumableStream, 2));
  configuration->routes.back().services = {
      {.service = ServiceName("model"), .weight = 100 - this->other_weight},
      {.service = ServiceName("other"), .weight = this->other_weight}};
  const std::vector<std::tuple<std::string, WorkKind, std::string>> crossed = {
      {"/listing/", WorkKind::kIdempotent, this->listing_service},
      {"/listing-once/", WorkKind::kNonIdempotent, this->listing_service},
      {"/feed/", WorkKind::kResumableStream, "plain"},
      {"/feed-once/", WorkKind::kStream, "plain"}};
  for (const auto& [path, kind, service] : crossed) {
    configuration->routes.push_back(MakeRoute(path, kind, 2));
    configuration->routes.back().timeout = 14s;
    configuration->routes.back().services = {{.service = ServiceName(service)}};
  }
  const EngineTraits engine{.slots = 64,
                            .kv_tokens = 20000,
                            .tokens_per_event = 10,
                            .export_lifetime = 500ms,
                            .role_switch = 6s};
  configuration->services = {{.name = ServiceName("model"), .engine = engine},
                             {.name = ServiceName("plain")},
                             {.name = ServiceName("other"), .engine = engine}};
  configuration->routes[3].open_to_all = true;
  this->core->SetConfiguration(configuration);
  if (this->reads_version_records) {
    this->core->NoteVersionRecordsRead();
  }
}

void GatewaySimulation::AddEndpoint(const std::string& id,
                                    const std::string& service,
                                    EndpointRole role,
                                    const std::string& software_version) {
  const http::Address address{
      .ip = "10.0.0.1",
      .port = static_cast<std::uint16_t>(1000 + this->addresses.size())};
  this->addresses[id] = address;
  this->records[id] = {.id = EndpointId(id),
                       .service = ServiceName(service),
                       .address = address,
                       .domain = FailureDomain("a"),
                       .role = role,
                       .slots = 6,
                       .software_version = software_version};
  this->ApplyRecord(id);
}

void GatewaySimulation::ApplyRecord(const std::string& id) {
  this->core->Apply(EndpointChange{.offset = LogOffset(++this->offset),
                                   .id = EndpointId(id),
                                   .record = this->records.at(id)});
}

void GatewaySimulation::Restart(const std::string& id,
                                std::int64_t started_at_ms) {
  this->records.at(id).started_at_ms = started_at_ms;
  this->ApplyRecord(id);
}

void GatewaySimulation::SetVersion(const std::string& id,
                                   const std::string& software_version) {
  this->records.at(id).software_version = software_version;
  this->ApplyRecord(id);
}

void GatewaySimulation::Retire(const std::string& id) {
  this->records.at(id).leaving = true;
  this->ApplyRecord(id);
}

void GatewaySimulation::RemoveEndpoint(const std::string& id) {
  this->core->Apply(EndpointChange{.offset = LogOffset(++this->offset),
                                   .id = EndpointId(id)});
}

std::shared_ptr<Answer> GatewaySimulation::SendRequest(const std::string& path,
                                                       const std::string& id,
                                                       const std::string& size,
                                                       int deadline_ms) {
  return this->Send(path, {{"Host", "h.example"},
                           {"Id", id},
                           {"Size", size},
                           {"Deadline", std::to_string(deadline_ms)}});
}

std::shared_ptr<Answer> GatewaySimulation::SendPrompt(
    const std::string& path,
    const std::string& id,
    const std::vector<std::string>& parts,
    const std::string& size) {
  return this->Send(path, {{"Host", "h.example"},
                           {"Id", id},
                           {"Size", size},
                           {"Deadline", "14000"},
                           {"Parts", boost::algorithm::join(parts, " ")}});
}

std::shared_ptr<Answer> GatewaySimulation::ResumeStream(
    const std::string& path,
    const std::string& id,
    const std::string& resumed_attempt,
    int last_event) {
  http::Headers headers = {{"Host", "h.example"},
                           {"Id", id},
                           {"Size", "3000,900"},
                           {"Deadline", "12000"},
                           {"Last-Event", std::to_string(last_event)}};
  if (!resumed_attempt.empty()) {
    headers.push_back({"Resumed", resumed_attempt});
  }
  return this->Send(path, std::move(headers));
}

std::shared_ptr<Answer> GatewaySimulation::Send(const std::string& path,
                                                http::Headers headers) {
  auto answer = std::make_shared<Answer>();
  const auto responder = std::make_shared<FakeResponder>(answer, this->now);
  this->responders.push_back(responder);
  if (!this->key.empty()) {
    headers.push_back({"Key", this->key});
  }
  this->core->Handle(
      {.method = "POST", .target = path, .headers = std::move(headers)},
      responder);
  return answer;
}

void GatewaySimulation::Disconnect() {
  if (const auto responder = this->responders.back().lock()) {
    responder->Disconnect();
  }
}

std::vector<std::shared_ptr<Call>> GatewaySimulation::Calls() {
  std::erase_if(this->calls, [](const std::shared_ptr<Call>& call) {
    return call->cancelled;
  });
  return this->calls;
}

std::shared_ptr<Call> GatewaySimulation::FindAt(
    const std::string& endpoint,
    std::string_view target_or_step) {
  const auto open = this->Calls();
  for (auto call = open.rbegin(); call != open.rend(); ++call) {
    const bool here =
        endpoint.empty() || (*call)->address == this->addresses.at(endpoint);
    if (here &&
        ((*call)->request.target.find(target_or_step) != std::string::npos ||
         Text((*call)->request.headers, "Step") == target_or_step)) {
      return *call;
    }
  }
  return nullptr;
}

std::string GatewaySimulation::VersionAt(
    const std::shared_ptr<Call>& call) const {
  for (const auto& [id, record] : this->records) {
    if (call != nullptr && record.address == call->address) {
      return record.software_version;
    }
  }
  return {};
}

std::shared_ptr<Call> GatewaySimulation::Find(std::string_view target_or_step) {
  return this->FindAt({}, target_or_step);
}

void GatewaySimulation::Reply(const std::shared_ptr<Call>& call,
                              int status,
                              const http::Headers& headers,
                              const std::string& body) {
  CPPUNIT_ASSERT_MESSAGE("no such call", call != nullptr);
  std::erase(this->calls, call);
  const http::ExchangeHooks hooks = call->hooks;
  if (hooks.is_answer && !hooks.is_answer(status, headers)) {
    this->calls.push_back(call);
    return;
  }
  if (hooks.on_head) {
    hooks.on_head(status, headers);
  }
  if (hooks.wants_body && !hooks.wants_body(status, headers)) {
    hooks.on_end({});
  } else if (hooks.on_data) {
    hooks.on_data(body);
    hooks.on_end({});
  } else if (hooks.on_end) {
    hooks.on_end(body);
  }
  this->core->OnTimer();
}

void GatewaySimulation::ReplyProof(const std::shared_ptr<Call>& call,
                                   int status,
                                   const std::string& body) {
  this->Reply(call, status, {{"Proof", "1"}}, body);
}

void GatewaySimulation::ReplyRefused(const std::shared_ptr<Call>& call) {
  this->Reply(call, 503, {{"Refused", "1"}});
}

void GatewaySimulation::Break(const std::shared_ptr<Call>& call,
                              bool sent,
                              ResultCode code) {
  CPPUNIT_ASSERT_MESSAGE("no such call", call != nullptr);
  std::erase(this->calls, call);
  const auto hook = call->hooks.on_error;
  hook(Error(code, "cut"), sent);
  this->core->OnTimer();
}

void GatewaySimulation::Begin(const std::shared_ptr<Call>& call,
                              bool unframed) {
  CPPUNIT_ASSERT_MESSAGE("no such call", call != nullptr);
  call->hooks.on_head(200, {{"Proof", "1"}});
  if (unframed) {
    call->hooks.on_unframed();
  }
}

void GatewaySimulation::Event(const std::shared_ptr<Call>& call, int id) {
  const auto hook = call->hooks.on_data;
  hook("id: " + std::to_string(id) + "\ndata: x\n\n");
}

void GatewaySimulation::End(const std::shared_ptr<Call>& call) {
  std::erase(this->calls, call);
  const auto hook = call->hooks.on_end;
  hook({});
  this->core->OnTimer();
}

void GatewaySimulation::RefuseQuestions() {
  this->AdvanceBy(Duration::zero());
  while (const auto report = this->Find("/report")) {
    this->Break(report, false);
    this->AdvanceBy(20ms);
  }
}

std::shared_ptr<Call> GatewaySimulation::AdvanceToDecode() {
  this->RefuseQuestions();
  this->Reply(this->Find("/reserve/"), 200, {}, "r1");
  this->Reply(this->Find("prefill"), 200, {}, "x1");
  return this->Find("decode");
}

std::ptrdiff_t GatewaySimulation::Logged(std::string_view event) const {
  return std::count(this->events.begin(), this->events.end(), event);
}

void GatewaySimulation::AdvanceBy(Duration time) {
  const Instant end = this->now + time;
  while (this->core->next_timer() <= end) {
    this->now = std::max(this->now, this->core->next_timer());
    this->core->OnTimer();
  }
  this->now = end;
}

void GatewaySimulation::Stall(Duration time) {
  this->now += time;
  this->core->OnTimer();
}

}  // namespace acacialug::gateway::testing
