#include "operations/requests_page.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace acacialug::operations {
namespace {

using Json = nlohmann::ordered_json;
using trace::Step;
using trace::Trace;

Json StepJson(const Step& step) {
  Json json = {{"step", NameOf(trace::kStepKindNames, step.kind)},
               {"at_us", step.at.count()}};
  if (!step.endpoint.empty()) {
    json["endpoint"] = step.endpoint.text;
    json["attempt"] = step.attempt.value;
  }
  if (step.phase) {
    json["phase"] = NameOf(protocol::kPhaseNames, *step.phase);
    json["code"] = static_cast<int>(step.code);
    json["code_name"] = ResultCodeName(step.code);
  }
  for (const auto& [kind, name] : trace::kAmountNames) {
    if (kind == step.kind) {
      json[std::string(name)] = step.amount;
    }
  }
  return json;
}

Json TraceJson(const Trace& trace) {
  Json steps = Json::array();
  for (const Step& step : trace.steps) {
    steps.push_back(StepJson(step));
  }
  return {{"request", ToString(trace.subject.request)},
          {"kind", NameOf(trace::kRequestKindNames, trace.subject.kind)},
          {"service", trace.subject.service},
          {"class", trace.subject.latency_class},
          {"outcome", NameOf(trace::kTraceOutcomeNames, trace.outcome)},
          {"code", static_cast<int>(trace.code)},
          {"code_name", ResultCodeName(trace.code)},
          {"age_us", trace.age.count()},
          {"took_us", trace.took.count()},
          {"steps_left_out", trace.steps_left_out},
          {"steps", std::move(steps)}};
}

Json PageJson(const EntryRequests& page) {
  Json requests = Json::array();
  for (const Trace& trace : page.requests) {
    requests.push_back(TraceJson(trace));
  }
  return {{"entry", page.entry.text},
          {"traces",
           {{"kept", page.counts.kept},
            {"alive", page.counts.alive},
            {"bytes", page.counts.bytes},
            {"dropped", page.counts.dropped},
            {"not_traced", page.counts.not_traced},
            {"steps_left_out", page.counts.steps_left_out}}},
          {"requests", std::move(requests)}};
}

Json PageJson(const AgentRequests& page) {
  Json attempts = Json::array();
  for (const agent::HeldAttempt& held : page.attempts) {
    attempts.push_back(
        {{"request", ToString(held.attempt.request)},
         {"attempt", held.attempt.attempt.value},
         // As text: JSON readers lose digits of a 64-bit number.
         {"entry_incarnation", std::to_string(held.attempt.entry.value)},
         {"holds", NameOf(agent::kHeldKindNames, held.kind)},
         {"age_us", held.age.count()}});
  }
  return {{"endpoint", page.endpoint.text}, {"attempts", std::move(attempts)}};
}

// The Read functions throw this or Json::exception.
struct BadPage {
  std::string detail;
};

template <typename Enum, std::size_t kSize>
Enum ReadName(const EnumNames<Enum, kSize>& names, const Json& json) {
  const auto name = json.get<std::string>();
  const std::optional<Enum> value = ValueOf(names, name);
  if (!value) {
    throw BadPage{"unknown word " + name};
  }
  return *value;
}

RequestId ReadRequest(const Json& json) {
  const std::optional<RequestId> id =
      ParseRequestId(json.at("request").get<std::string>());
  if (!id) {
    throw BadPage{"a request that is no id"};
  }
  return *id;
}

ResultCode ReadCode(const Json& json) {
  return static_cast<ResultCode>(json.at("code").get<int>());
}

Step ReadStep(const Json& json) {
  Step step{.kind = ReadName(trace::kStepKindNames, json.at("step")),
            .at = Duration(json.at("at_us").get<std::int64_t>())};
  if (json.contains("endpoint")) {
    step.endpoint = EndpointId(json["endpoint"].get<std::string>());
    step.attempt = AttemptNumber(json.at("attempt").get<std::uint64_t>());
  }
  if (json.contains("phase")) {
    step.phase = ReadName(protocol::kPhaseNames, json["phase"]);
    step.code = ReadCode(json);
  }
  for (const auto& [kind, name] : trace::kAmountNames) {
    if (kind == step.kind) {
      step.amount = json.at(std::string(name)).get<std::uint64_t>();
    }
  }
  return step;
}

Trace ReadTrace(const Json& json) {
  Trace trace{
      .subject = {.request = ReadRequest(json),
                  .kind = ReadName(trace::kRequestKindNames, json.at("kind")),
                  .service = json.at("service").get<std::string>(),
                  .latency_class = json.at("class").get<std::string>()},
      .outcome = ReadName(trace::kTraceOutcomeNames, json.at("outcome")),
      .code = ReadCode(json),
      .age = Duration(json.at("age_us").get<std::int64_t>()),
      .took = Duration(json.at("took_us").get<std::int64_t>()),
      .steps_left_out = json.at("steps_left_out").get<std::uint32_t>()};
  for (const Json& step : json.at("steps")) {
    trace.steps.push_back(ReadStep(step));
  }
  return trace;
}

EntryRequests ReadEntry(const Json& json) {
  const Json& counts = json.at("traces");
  EntryRequests page{
      .entry = EntryId(json.at("entry").get<std::string>()),
      .counts = {
          .kept = counts.at("kept").get<std::size_t>(),
          .alive = counts.at("alive").get<std::size_t>(),
          .bytes = counts.at("bytes").get<std::size_t>(),
          .dropped = counts.at("dropped").get<std::uint64_t>(),
          .not_traced = counts.at("not_traced").get<std::uint64_t>(),
          .steps_left_out = counts.at("steps_left_out").get<std::uint64_t>()}};
  for (const Json& trace : json.at("requests")) {
    page.requests.push_back(ReadTrace(trace));
  }
  return page;
}

AgentRequests ReadAgent(const Json& json) {
  AgentRequests page{.endpoint =
                         EndpointId(json.at("endpoint").get<std::string>())};
  for (const Json& row : json.at("attempts")) {
    const std::optional<AttemptId> attempt =
        ParseAttemptId(row.at("request").get<std::string>() + "-" +
                       std::to_string(row.at("attempt").get<std::uint64_t>()) +
                       "-" + row.at("entry_incarnation").get<std::string>());
    if (!attempt) {
      throw BadPage{"an attempt that is no id"};
    }
    page.attempts.push_back(
        {.attempt = *attempt,
         .kind = ReadName(agent::kHeldKindNames, row.at("holds")),
         .age = Duration(row.at("age_us").get<std::int64_t>())});
  }
  return page;
}

}  // namespace

bool IsRequestsPath(std::string_view path) {
  return path == kRequestsPath ||
         (path.starts_with(kRequestsPath) && path[kRequestsPath.size()] == '/');
}

Result<std::optional<RequestId>> RequestOfPath(std::string_view path) {
  if (path == kRequestsPath) {
    return std::optional<RequestId>();
  }
  const std::optional<RequestId> id =
      ParseRequestId(path.substr(kRequestsPath.size() + 1));
  if (!id) {
    return Error(ResultCode::kInvalidParameter,
                 "expected 32 hexadecimal digits behind /requests/");
  }
  return id;
}

std::string RenderRequestsPage(const RequestsPage& page) {
  const Json json =
      std::visit([](const auto& kind) { return PageJson(kind); }, page);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Result<RequestsPage> ParseRequestsPage(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    return json.contains("entry") ? RequestsPage(ReadEntry(json))
                                  : RequestsPage(ReadAgent(json));
  } catch (const Json::exception& error) {
    return Error(ResultCode::kNodeBadAnswer, error.what());
  } catch (const BadPage& error) {
    return Error(ResultCode::kNodeBadAnswer, error.detail);
  }
}

}  // namespace acacialug::operations
