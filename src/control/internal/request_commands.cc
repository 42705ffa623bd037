// `requests` and `explain`: merges the reports of entries and agents.
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <variant>

#include "control/internal/command_context.h"
#include "control/internal/node_pages.h"
#include "control/internal/text_table.h"
#include "operations/requests_page.h"

namespace acacialug::control {
namespace {

using Json = nlohmann::ordered_json;
using operations::AgentRequests;
using operations::EntryRequests;
using operations::RequestsPage;

constexpr int kOk = static_cast<int>(CommandExit::kOk);
constexpr int kFailed = static_cast<int>(CommandExit::kFailed);

struct Held {
  EndpointId endpoint;
  agent::HeldAttempt attempt;
};

// The merged reports on one request.
struct RequestRow {
  EntryId entry;  // empty: unknown to all queried entries
  std::optional<trace::Trace> trace;
  std::vector<Held> held;

  Duration Age() const {
    Duration age = this->trace ? this->trace->age : Duration::zero();
    for (const Held& item : this->held) {
      age = std::max(age, item.attempt.age);
    }
    return age;
  }
};
using RequestRows = std::map<RequestId, RequestRow>;

struct MergedRequests {
  RequestRows rows;
  std::vector<EntryRequests> entries;  // without their requests
  bool faults = false;                 // a process did not answer correctly
};

void Add(const EntryRequests& page, MergedRequests& merged) {
  for (const trace::Trace& trace : page.requests) {
    RequestRow& row = merged.rows[trace.subject.request];
    row.entry = page.entry;
    row.trace = trace;
  }
  merged.entries.push_back({.entry = page.entry, .counts = page.counts});
}

void Add(const AgentRequests& page, MergedRequests& merged) {
  for (const agent::HeldAttempt& attempt : page.attempts) {
    merged.rows[attempt.attempt.request].held.push_back(
        {.endpoint = page.endpoint, .attempt = attempt});
  }
}

MergedRequests QueryRequests(const CommandContext& context,
                             const std::vector<http::Address>& nodes,
                             const std::string& path) {
  MergedRequests merged;
  for (const NodeAnswer& answer : context.QueryAll(nodes, path)) {
    const Result<RequestsPage> page = ReadRequests(answer);
    if (page.ok()) {
      std::visit([&merged](const auto& kind) { Add(kind, merged); }, *page);
    } else if (page.error().result_code() != ResultCode::kUnknownRequest) {
      context.PrintError(answer.address, page.error());
      merged.faults = true;
    }
  }
  return merged;
}

Json HeldJson(const std::vector<Held>& held) {
  Json rows = Json::array();
  for (const Held& item : held) {
    rows.push_back({{"endpoint", item.endpoint.text},
                    {"attempt", item.attempt.attempt.attempt.value},
                    {"holds", NameOf(agent::kHeldKindNames, item.attempt.kind)},
                    {"age_us", item.attempt.age.count()}});
  }
  return rows;
}

// The request as on the entry's page, with the reports of agents added.
Json RowJson(const RequestId& request, const RequestRow& row) {
  Json json = {{"request", ToString(request)}};
  if (row.trace) {
    const Json page = Json::parse(operations::RenderRequestsPage(
        EntryRequests{.entry = row.entry, .requests = {*row.trace}}));
    json = page["requests"][0];
    json["entry"] = row.entry.text;
  }
  json["held"] = HeldJson(row.held);
  return json;
}

std::string Dump(const Json& json) {
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string StepText(const trace::Step& step) {
  std::string text(NameOf(trace::kStepKindNames, step.kind));
  return step.endpoint.empty() ? text : text + " " + step.endpoint.text;
}

std::string HeldText(const std::vector<Held>& held) {
  std::string text;
  for (const Held& item : held) {
    text += (text.empty() ? "" : ", ") + item.endpoint.text + " " +
            std::string(NameOf(agent::kHeldKindNames, item.attempt.kind));
  }
  return text;
}

std::vector<std::string> Cells(const RequestId& request,
                               const RequestRow& row) {
  std::vector<std::string> cells(8);
  cells[0] = ToString(request);
  cells[5] = ShortDuration(row.Age());
  cells[7] = HeldText(row.held);
  if (row.trace) {
    const trace::TraceSubject& subject = row.trace->subject;
    cells[1] = row.entry.text;
    cells[2] = NameOf(trace::kRequestKindNames, subject.kind);
    cells[3] = subject.service;
    cells[4] = subject.latency_class;
    cells[6] = row.trace->steps.empty() ? std::string()
                                        : StepText(row.trace->steps.back());
  }
  return cells;
}

// The oldest requests come first: operators look for these.
std::string RenderRequests(const MergedRequests& merged) {
  std::vector<const RequestRows::value_type*> rows;
  for (const RequestRows::value_type& row : merged.rows) {
    rows.push_back(&row);
  }
  std::stable_sort(rows.begin(), rows.end(),
                   [](const auto* left, const auto* right) {
                     return left->second.Age() > right->second.Age();
                   });
  TextTable table({"REQUEST", "ENTRY", "KIND", "SERVICE", "CLASS", "AGE",
                   "LAST STEP", "HELD"});
  for (const auto* row : rows) {
    table.Add(Cells(row->first, row->second));
  }
  return table.Render();
}

std::string DetailOf(const trace::Step& step) {
  std::string detail;
  if (step.phase) {
    detail = std::string(NameOf(protocol::kPhaseNames, *step.phase)) + ": " +
             std::to_string(static_cast<int>(step.code)) + " " +
             std::string(ResultCodeName(step.code)) + " ";
  }
  for (const auto& [kind, name] : trace::kAmountNames) {
    if (kind == step.kind) {
      detail += std::string(name) + " " + std::to_string(step.amount);
    }
  }
  return detail;
}

std::string OutcomeText(const trace::Trace& trace) {
  if (trace.outcome == trace::TraceOutcome::kAlive) {
    return "alive for " + ShortDuration(trace.age);
  }
  std::string text(NameOf(trace::kTraceOutcomeNames, trace.outcome));
  if (trace.code != ResultCode::kOk) {
    text += ", " + std::to_string(static_cast<int>(trace.code)) + " " +
            std::string(ResultCodeName(trace.code));
  }
  return text + ", after " + ShortDuration(trace.took) + ", " +
         ShortDuration(trace.age - trace.took) + " ago";
}

std::size_t CountSteps(const trace::Trace& trace, trace::StepKind kind) {
  return static_cast<std::size_t>(
      std::count_if(trace.steps.begin(), trace.steps.end(),
                    [kind](const auto& step) { return step.kind == kind; }));
}

std::string SummaryOf(const trace::Trace& trace) {
  std::set<AttemptNumber> attempts;
  for (const trace::Step& step : trace.steps) {
    if (step.attempt.value > 0) {
      attempts.insert(step.attempt);
    }
  }
  return "attempts " + std::to_string(attempts.size()) +
         ", reservations asked for " +
         std::to_string(CountSteps(trace, trace::StepKind::kReserveSent)) +
         ", made " +
         std::to_string(CountSteps(trace, trace::StepKind::kReserved)) +
         ", refusals " +
         std::to_string(CountSteps(trace, trace::StepKind::kRefused));
}

std::string ExplainTrace(const EntryId& entry, const trace::Trace& trace) {
  std::string text =
      "entry    " + entry.text + "\nkind     " +
      std::string(NameOf(trace::kRequestKindNames, trace.subject.kind)) +
      "\nservice  " + trace.subject.service + ", class " +
      trace.subject.latency_class + "\noutcome  " + OutcomeText(trace) +
      "\n         " + SummaryOf(trace) + "\n\n";
  TextTable table({"AT", "STEP", "ENDPOINT", "ATTEMPT", "DETAIL"});
  for (const trace::Step& step : trace.steps) {
    table.Add({ShortDuration(step.at),
               std::string(NameOf(trace::kStepKindNames, step.kind)),
               step.endpoint.text,
               step.attempt.value == 0 ? std::string()
                                       : std::to_string(step.attempt.value),
               DetailOf(step)});
  }
  text += table.Render();
  if (trace.steps_left_out > 0) {
    text += std::to_string(trace.steps_left_out) +
            " later steps were left out: the bound on traces\n";
  }
  return text;
}

std::string Explain(const RequestId& request, const RequestRow& row) {
  std::string text = "request  " + ToString(request) + "\n";
  text += row.trace ? ExplainTrace(row.entry, *row.trace)
                    : "no asked entry knows it; agents hold for it:\n";
  if (row.held.empty()) {
    return text;
  }
  TextTable table({"HELD NOW AT", "ATTEMPT", "HOLDS", "AGE"});
  for (const Held& item : row.held) {
    table.Add({item.endpoint.text,
               std::to_string(item.attempt.attempt.attempt.value),
               std::string(NameOf(agent::kHeldKindNames, item.attempt.kind)),
               ShortDuration(item.attempt.age)});
  }
  return text + "\n" + table.Render();
}

Json RequestsJson(const MergedRequests& merged) {
  Json requests = Json::array();
  for (const auto& [request, row] : merged.rows) {
    requests.push_back(RowJson(request, row));
  }
  Json entries = Json::array();
  for (const EntryRequests& entry : merged.entries) {
    Json page = Json::parse(operations::RenderRequestsPage(entry));
    page.erase("requests");
    entries.push_back(std::move(page));
  }
  return {{"requests", std::move(requests)}, {"entries", std::move(entries)}};
}

}  // namespace

int RunRequestsCommand(CommandContext& context,
                       const std::vector<std::string>& rest) {
  if (!rest.empty()) {
    return context.PrintError(CommandExit::kUsage,
                              "requests: expected no argument");
  }
  const std::vector<http::Address> nodes = context.Nodes();
  if (nodes.empty()) {
    return static_cast<int>(CommandExit::kUsage);
  }
  const MergedRequests merged =
      QueryRequests(context, nodes, std::string(operations::kRequestsPath));
  context.options.print(context.options.json ? Dump(RequestsJson(merged))
                                             : RenderRequests(merged));
  return merged.faults ? kFailed : kOk;
}

int RunExplainCommand(CommandContext& context,
                      const std::vector<std::string>& rest) {
  if (rest.size() != 1) {
    return context.PrintError(CommandExit::kUsage,
                              "explain: expected one REQUEST");
  }
  const std::optional<RequestId> request = ParseRequestId(rest[0]);
  if (!request) {
    context.PrintError(Error(ResultCode::kInvalidParameter,
                             "explain: expected 32 hexadecimal digits, as in "
                             "X-Request-Id; found \"" +
                                 rest[0] + "\""));
    return static_cast<int>(CommandExit::kUsage);
  }
  const std::vector<http::Address> nodes = context.Nodes();
  if (nodes.empty()) {
    return static_cast<int>(CommandExit::kUsage);
  }
  const MergedRequests merged = QueryRequests(
      context, nodes,
      std::string(operations::kRequestsPath) + "/" + ToString(*request));
  const auto row = merged.rows.find(*request);
  if (row != merged.rows.end()) {
    context.options.print(context.options.json
                              ? Dump(RowJson(row->first, row->second))
                              : Explain(row->first, row->second));
    return kOk;
  }
  if (merged.faults) {
    return context.PrintError(
        CommandExit::kFailed,
        "the processes that answered do not know this request");
  }
  return context.PrintError(
      Error(ResultCode::kUnknownRequest, ToString(*request)));
}

}  // namespace acacialug::control
