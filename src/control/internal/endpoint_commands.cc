// `endpoints` and `drain`: the processes at the addresses of --nodes.
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "control/internal/command_context.h"
#include "control/internal/node_pages.h"
#include "control/internal/text_table.h"
#include "operations/drain_request.h"

namespace acacialug::control {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kOk = static_cast<int>(CommandExit::kOk);
constexpr int kFailed = static_cast<int>(CommandExit::kFailed);

struct EndpointRow {
  std::optional<NodeStatus> agent;  // if --nodes includes it
  EndpointView view;                // otherwise, by a connected entry
  std::uint32_t entries = 0;        // that list it
  std::uint32_t connected = 0;      // of these
};
using EndpointRows = std::map<EndpointId, EndpointRow>;

// The status of all processes that answered. Prints an error for each of the
// others and sets `exit`.
std::vector<NodeStatus> QueryStatus(const CommandContext& context,
                                    const std::vector<http::Address>& nodes,
                                    int& exit) {
  std::vector<NodeStatus> all;
  for (const NodeAnswer& answer : context.QueryAll(nodes, "/status")) {
    const Result<NodeStatus> status = ReadStatus(answer);
    if (status.ok()) {
      all.push_back(*status);
    } else {
      context.PrintError(answer.address, status.error());
      exit = kFailed;
    }
  }
  return all;
}

EndpointRows MergeEndpoints(const std::vector<NodeStatus>& nodes) {
  EndpointRows rows;
  for (const NodeStatus& node : nodes) {
    if (!node.is_entry) {
      rows[EndpointId(node.name)].agent = node;
    }
    for (const auto& [id, view] : node.endpoints) {
      EndpointRow& row = rows[id];
      ++row.entries;
      row.connected += view.connected ? 1 : 0;
      if (view.connected || row.entries == 1) {
        row.view = view;
      }
    }
  }
  return rows;
}

std::string StateOf(const EndpointRow& row) {
  if (!row.agent) {
    return row.connected > 0 ? "connected" : "not connected";
  }
  if (row.agent->draining) {
    return "draining";
  }
  return row.agent->ready ? "ready" : "not ready";
}

std::string EntriesOf(const EndpointRow& row) {
  return row.entries == 0 ? std::string()
                          : std::to_string(row.connected) + "/" +
                                std::to_string(row.entries);
}

std::string RenderTable(const EndpointRows& rows) {
  TextTable table({"ENDPOINT", "ROLE", "STATE", "RUNNING", "QUEUED",
                   "FREE KV TOKENS", "WORK AHEAD", "HELD", "MANIFEST",
                   "ENTRIES"});
  for (const auto& [id, row] : rows) {
    const EndpointView& load = row.agent ? row.agent->load : row.view;
    table.Add({id.text, row.agent ? row.agent->role : "", StateOf(row),
               std::to_string(load.running) + "/" + std::to_string(load.limit),
               std::to_string(load.queued), std::to_string(load.free_kv_tokens),
               ShortDuration(load.work_ahead),
               row.agent ? std::to_string(row.agent->held_attempts) : "",
               row.agent ? std::to_string(row.agent->manifest_offset) : "",
               EntriesOf(row)});
  }
  return table.Render();
}

std::string RenderJson(const EndpointRows& rows) {
  Json all = Json::array();
  for (const auto& [id, row] : rows) {
    const EndpointView& load = row.agent ? row.agent->load : row.view;
    Json item = {{"endpoint", id.text},
                 {"state", StateOf(row)},
                 {"running", load.running},
                 {"limit", load.limit},
                 {"queued", load.queued},
                 {"free_kv_tokens", load.free_kv_tokens},
                 {"work_ahead_us", load.work_ahead.count()},
                 {"entries", row.entries},
                 {"entries_connected", row.connected}};
    if (row.agent) {
      item["address"] = http::ToString(row.agent->address);
      item["role"] = row.agent->role;
      item["held_attempts"] = row.agent->held_attempts;
      item["manifest_offset"] = row.agent->manifest_offset;
    }
    all.push_back(std::move(item));
  }
  return all.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

// The one process of that name. Errors: kInvalidParameter, when there is none
// or more than one, so that nothing is drained by mistake.
Result<NodeStatus> FindNode(const std::vector<NodeStatus>& nodes,
                            const std::string& name) {
  const auto of_name = [&name](const NodeStatus& node) {
    return node.name == name;
  };
  const auto found = std::find_if(nodes.begin(), nodes.end(), of_name);
  if (found == nodes.end()) {
    return Error(ResultCode::kInvalidParameter,
                 name + ": no process of --nodes that answered has this name");
  }
  if (std::find_if(found + 1, nodes.end(), of_name) != nodes.end()) {
    return Error(ResultCode::kInvalidParameter,
                 name + ": more than one process of --nodes has this name");
  }
  return *found;
}

// Reports the answer of one process; returns the matching exit code.
int ReportDrain(const CommandContext& context,
                const std::string& name,
                const NodeAnswer& answer,
                Json& rows) {
  constexpr int kAccepted = 202;
  if (answer.response.ok() && answer.response->status == kAccepted) {
    rows.push_back({{"name", name},
                    {"address", http::ToString(answer.address)},
                    {"draining", true}});
    if (!context.options.json) {
      context.options.print(name + " drains\n");
    }
    return kOk;
  }
  return context.PrintError(answer.address, answer.response.ok()
                                                ? ErrorOf(*answer.response)
                                                : answer.response.error());
}

std::vector<NodeRequest> DrainRequests(const std::vector<NodeStatus>& nodes) {
  std::vector<NodeRequest> node_requests;
  node_requests.reserve(nodes.size());
  for (const NodeStatus& node : nodes) {
    node_requests.push_back(
        {.address = node.address,
         .method = "POST",
         .path = std::string(operations::kDrainPath),
         .body = operations::RenderDrainRequest(node.name)});
  }
  return node_requests;
}

}  // namespace

int RunEndpointsCommand(CommandContext& context,
                        const std::vector<std::string>& rest) {
  if (!rest.empty()) {
    return context.PrintError(CommandExit::kUsage,
                              "endpoints: expected no argument");
  }
  const std::vector<http::Address> nodes = context.Nodes();
  if (nodes.empty()) {
    return static_cast<int>(CommandExit::kUsage);
  }
  int exit = kOk;
  const EndpointRows rows = MergeEndpoints(QueryStatus(context, nodes, exit));
  context.options.print(context.options.json ? RenderJson(rows)
                                             : RenderTable(rows));
  return exit;
}

int RunDrainCommand(CommandContext& context,
                    const std::vector<std::string>& rest) {
  if (rest.empty()) {
    return context.PrintError(CommandExit::kUsage,
                              "drain: expected at least one NAME");
  }
  const std::vector<http::Address> nodes = context.Nodes();
  if (nodes.empty()) {
    return static_cast<int>(CommandExit::kUsage);
  }
  int exit = kOk;
  const std::vector<NodeStatus> known = QueryStatus(context, nodes, exit);
  std::vector<NodeStatus> chosen;
  for (const std::string& name : rest) {
    const Result<NodeStatus> node = FindNode(known, name);
    if (!node.ok()) {
      context.PrintError(node.error());
      return exit == kOk ? static_cast<int>(CommandExit::kNotFound) : exit;
    }
    chosen.push_back(*node);
  }
  exit = kOk;  // a process that was not named need not answer
  Json rows = Json::array();
  const std::vector<NodeAnswer> answers =
      QueryNodes(DrainRequests(chosen), {.timeout = context.options.timeout});
  for (std::size_t at = 0; at < answers.size(); ++at) {
    exit = std::max(exit, ReportDrain(context, rest[at], answers[at], rows));
  }
  if (context.options.json) {
    context.options.print(rows.dump(2) + "\n");
  }
  return exit;
}

}  // namespace acacialug::control
