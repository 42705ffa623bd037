#include "entry/tests/entry_driver.h"

#include <algorithm>
#include <map>
#include <utility>

namespace acacialug::entry {
namespace {

protocol::EndpointRole RoleOf(const std::string& endpoint) {
  static const std::map<char, protocol::EndpointRole> kRoles = {
      {'p', protocol::EndpointRole::kPrefill},
      {'d', protocol::EndpointRole::kDecode},
      {'s', protocol::EndpointRole::kPlain}};
  return kRoles.at(endpoint.front());
}

EntryOptions WithIdentity(EntryOptions options) {
  options.id = EntryId("entry-1");
  options.incarnation = Incarnation(99);
  options.domain = FailureDomain("a");
  return options;
}

protocol::EndpointLoad HealthyLoad() {
  return {.free_kv_tokens = 100000,
          .total_kv_tokens = 100000,
          .limit = 20,
          .token_interval = 30ms,
          .prefill_tokens_per_second = 20000};
}

}  // namespace

EntryDriver::EntryDriver(EntryOptions options)
    : core(std::make_unique<EntryCore>(WithIdentity(std::move(options)),
                                       this->random)) {}

manifest::Manifest EntryDriver::DefaultManifest() {
  manifest::Manifest manifest;
  manifest.offset = LogOffset(1);
  const std::vector<manifest::LatencyClass> classes = {
      {.name = "interactive", .first_token = 2s, .patience = 30s}};
  manifest.services = {
      {.name = ServiceName("lm"),
       .kind = manifest::ServiceKind::kModel,
       .models = {ModelName("m")},
       .classes = classes,
       .queue_limit = 4},
      {.name = ServiceName("app"),
       .classes = classes,
       .idempotency = {
           {.method = "POST", .path_prefix = "/search", .idempotent = true}}}};
  for (const char* id : {"p1", "p2", "d1", "d2", "s1", "s2"}) {
    manifest.endpoints.push_back(
        {.id = EndpointId(id),
         .host = HostId(id),
         .domain = FailureDomain("a"),
         .service = ServiceName(id[0] == 's' ? "app" : "lm"),
         .role = RoleOf(id),
         .kv_tokens = 100000,
         .slots = 20});
  }
  return manifest;
}

void EntryDriver::Apply(manifest::Manifest manifest) {
  this->core->OnManifest(
      std::make_shared<const manifest::Manifest>(std::move(manifest)),
      this->now);
  this->Collect();
}

void EntryDriver::Open(const std::string& endpoint, std::uint64_t incarnation) {
  this->core->OnEndpointConnected(EndpointId(endpoint), this->now);
  this->Deliver(endpoint,
                protocol::Welcome{.endpoint = EndpointId(endpoint),
                                  .incarnation = Incarnation(incarnation),
                                  .role = RoleOf(endpoint),
                                  .lease = 3s,
                                  .load = HealthyLoad()});
}

void EntryDriver::OpenAll() {
  this->Collect();
  for (const EndpointId& endpoint : std::exchange(this->connecting, {})) {
    this->Open(endpoint.text);
  }
}

RequestId EntryDriver::Generate(const std::string& prompt,
                                std::uint32_t max_tokens) {
  const RequestId request{.high = 1, .low = this->next_request++};
  this->core->OnGeneration({.request = request,
                            .caller = CallerName("caller"),
                            .generation = {.model = ModelName("m"),
                                           .body = "{}",
                                           .max_tokens = max_tokens},
                            .prompt_text = prompt},
                           this->now);
  return request;
}

RequestId EntryDriver::Call(const std::string& method,
                            const std::string& idempotency_key,
                            const std::string& ticket) {
  const RequestId request{.high = 2, .low = this->next_request++};
  this->core->OnCall({.request = request,
                      .caller = CallerName("caller"),
                      .service = ServiceName("app"),
                      .call = {.method = method, .target = "/x"},
                      .idempotency_key = idempotency_key,
                      .ticket = ticket},
                     this->now);
  return request;
}

void EntryDriver::Deliver(const std::string& endpoint,
                          const protocol::AgentToEntry& message) {
  this->core->OnMessage(EndpointId(endpoint), message, this->now);
}

void EntryDriver::Close(const std::string& endpoint) {
  this->core->OnEndpointClosed(EndpointId(endpoint), this->now);
}

void EntryDriver::AdvanceBy(Duration duration, bool renew) {
  const Instant end = this->now + duration;
  while (this->core->next_timer() <= end) {
    this->now = std::max(this->now, this->core->next_timer());
    this->core->OnTimer(this->now);
    this->Collect();
    std::vector<EndpointId> renewing;
    std::erase_if(this->sent, [&renewing](const SendToAgent& item) {
      if (std::holds_alternative<protocol::Renew>(item.message)) {
        renewing.push_back(item.endpoint);
        return true;
      }
      return false;
    });
    for (const EndpointId& endpoint : renewing) {
      if (renew) {
        this->Deliver(endpoint.text, protocol::Renewed{.load = HealthyLoad()});
      }
    }
  }
  this->now = end;
}

AttemptId EntryDriver::Reserve(std::string* decode, Duration available_in) {
  const auto reserve = this->Expect<protocol::Reserve>(decode);
  this->Deliver(this->last_endpoint,
                protocol::Reserved{.attempt = reserve.attempt,
                                   .available_in = available_in,
                                   .load = HealthyLoad()});
  return reserve.attempt;
}

AttemptId EntryDriver::Prefill(std::string* prefill, Duration lifetime) {
  const auto start = this->Expect<protocol::StartPrefill>(prefill);
  this->Deliver(this->last_endpoint,
                protocol::Prefilled{
                    .attempt = start.attempt,
                    .kv = {.prefill_endpoint = EndpointId(this->last_endpoint),
                           .transfer_params = "{}",
                           .tokens = 100,
                           .bytes = 1000},
                    .usage = {.prompt_tokens = 100},
                    .lifetime = lifetime,
                    .load = HealthyLoad()});
  return start.attempt;
}

AttemptId EntryDriver::Decode(std::string* decode) {
  return this->Expect<protocol::StartDecode>(decode).attempt;
}

AttemptId EntryDriver::Stream(std::string* decode, const std::string& text) {
  this->Reserve();
  this->Prefill();
  const AttemptId attempt = this->Decode(decode);
  this->Chunk(*decode, attempt, 0, text);
  return attempt;
}

void EntryDriver::Refuse(const std::string& endpoint,
                         const AttemptId& attempt,
                         protocol::Phase phase,
                         ResultCode code) {
  this->Deliver(endpoint, protocol::Refused{.attempt = attempt,
                                            .phase = phase,
                                            .code = code,
                                            .load = HealthyLoad()});
}

void EntryDriver::Fail(const std::string& endpoint,
                       const AttemptId& attempt,
                       protocol::Phase phase,
                       ResultCode code,
                       protocol::Outcome outcome) {
  this->Deliver(endpoint, protocol::Failed{.attempt = attempt,
                                           .phase = phase,
                                           .code = code,
                                           .outcome = outcome,
                                           .load = HealthyLoad()});
}

void EntryDriver::Chunk(const std::string& endpoint,
                        const AttemptId& attempt,
                        std::uint64_t sequence,
                        const std::string& text) {
  this->Deliver(endpoint, protocol::Chunk{.attempt = attempt,
                                          .sequence = SequenceNumber(sequence),
                                          .tokens = 1,
                                          .text = text});
}

void EntryDriver::End(const std::string& endpoint,
                      const AttemptId& attempt,
                      std::uint64_t chunks) {
  this->Deliver(endpoint, protocol::Ended{.attempt = attempt,
                                          .chunks = SequenceNumber(chunks),
                                          .load = HealthyLoad()});
}

void EntryDriver::Collect() {
  for (EntryAction& action : this->core->TakeActions()) {
    if (auto* message = std::get_if<SendToAgent>(&action)) {
      this->sent.push_back(std::move(*message));
    } else if (auto* connect = std::get_if<ConnectEndpoint>(&action)) {
      this->connecting.push_back(connect->endpoint);
    } else {
      this->answers.push_back(std::move(action));
    }
  }
}

std::string EntryDriver::Text() {
  this->Collect();
  std::string text;
  for (const EntryAction& action : this->answers) {
    if (const auto* answer = std::get_if<AnswerText>(&action)) {
      text += answer->text;
    }
  }
  return text;
}

std::vector<AnswerError> EntryDriver::Errors() {
  this->Collect();
  std::vector<AnswerError> errors;
  for (const EntryAction& action : this->answers) {
    if (const auto* error = std::get_if<AnswerError>(&action)) {
      errors.push_back(*error);
    }
  }
  return errors;
}

std::size_t EntryDriver::Ends() {
  this->Collect();
  return static_cast<std::size_t>(std::count_if(
      this->answers.begin(), this->answers.end(), [](const auto& action) {
        return std::holds_alternative<AnswerEnd>(action);
      }));
}

std::vector<AnswerCall> EntryDriver::Calls() {
  this->Collect();
  std::vector<AnswerCall> calls;
  for (const EntryAction& action : this->answers) {
    if (const auto* call = std::get_if<AnswerCall>(&action)) {
      calls.push_back(*call);
    }
  }
  return calls;
}

}  // namespace acacialug::entry
