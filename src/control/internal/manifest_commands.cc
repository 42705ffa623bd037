#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "control/internal/command_context.h"
#include "control/manifest_diff.h"
#include "control/scraper.h"
#include "manifest/manifest_parser.h"

namespace acacialug::control {
namespace {

using Json = nlohmann::ordered_json;
using configuration::ConfigurationHistory;
using configuration::Judgement;

constexpr int kOk = static_cast<int>(CommandExit::kOk);
constexpr char kCurrent[] = "current";

int Check(CommandContext& context, const std::string& path) {
  const std::optional<std::string> text = context.ReadFile(path);
  if (!text) {
    return static_cast<int>(CommandExit::kInvalid);
  }
  const std::vector<settings::Problem> problems =
      manifest::CheckManifest(*text, path);
  for (const settings::Problem& problem : problems) {
    context.options.print_error(settings::ToString(problem) + "\n");
  }
  if (!problems.empty()) {
    return static_cast<int>(CommandExit::kInvalid);
  }
  context.options.print(path + ": ok\n");
  return kOk;
}

// Loads a file, or the log's active manifest for the word "current".
Result<manifest::Manifest> Load(CommandContext& context,
                                const std::string& name) {
  if (name != kCurrent) {
    const std::optional<std::string> text = context.ReadFile(name);
    return text ? manifest::ParseManifest(*text, name)
                : Result<manifest::Manifest>(
                      Error(ResultCode::kSettingsUnreadable, name));
  }
  Publisher* const log = context.OpenLog();
  if (log == nullptr) {
    return Error(ResultCode::kPlatformUnavailable, "no log to read");
  }
  const Result<ConfigurationHistory> history = log->ReadHistory();
  if (!history.ok()) {
    return history.error();
  }
  return history->current() == nullptr ? manifest::Manifest()
                                       : *history->current()->manifest;
}

int Diff(CommandContext& context,
         const std::string& before_name,
         const std::string& after_name) {
  const Result<manifest::Manifest> before = Load(context, before_name);
  if (!before.ok()) {
    return context.PrintError(before.error());
  }
  const Result<manifest::Manifest> after = Load(context, after_name);
  if (!after.ok()) {
    return context.PrintError(after.error());
  }
  Json rows = Json::array();
  std::string text;
  for (const Change& change : DiffManifests(*before, *after)) {
    const std::string kind(NameOf(kChangeKindNames, change.kind));
    rows.push_back(
        {{"change", kind}, {"section", change.section}, {"name", change.name}});
    text += kind + " " + change.section + " " + change.name + "\n";
  }
  context.options.print(context.options.json ? rows.dump(2) + "\n" : text);
  return kOk;
}

int Publish(CommandContext& context, const std::string& path) {
  const std::optional<std::string> text = context.ReadFile(path);
  if (!text) {
    return static_cast<int>(CommandExit::kInvalid);
  }
  Publisher* const log = context.OpenLog();
  if (log == nullptr) {
    return static_cast<int>(CommandExit::kUsage);
  }
  const Result<Judgement> judgement = log->Publish(*text, path);
  if (!judgement.ok()) {
    return context.PrintError(judgement.error());
  }
  context.options.print(
      context.options.json
          ? Json{{"offset", judgement->offset.value},
                 {"version", judgement->version}}
                    .dump() +
                "\n"
          : "accepted at offset " + std::to_string(judgement->offset.value) +
                " (version \"" + judgement->version + "\")\n");
  return kOk;
}

int Show(CommandContext& context) {
  Publisher* const log = context.OpenLog();
  if (log == nullptr) {
    return static_cast<int>(CommandExit::kUsage);
  }
  const Result<ConfigurationHistory> history = log->ReadHistory();
  if (!history.ok()) {
    return context.PrintError(history.error());
  }
  const configuration::AcceptedManifest* current = history->current();
  if (current == nullptr) {
    return context.PrintError(CommandExit::kFailed, "no manifest is published");
  }
  context.options.print(
      context.options.json
          ? Json{{"offset", current->manifest->offset.value},
                 {"version", current->manifest->version},
                 {"text", current->text}}
                    .dump() +
                "\n"
          : "# offset " + std::to_string(current->manifest->offset.value) +
                "\n" + current->text);
  return kOk;
}

int History(CommandContext& context) {
  Publisher* const log = context.OpenLog();
  if (log == nullptr) {
    return static_cast<int>(CommandExit::kUsage);
  }
  const Result<ConfigurationHistory> history = log->ReadHistory();
  if (!history.ok()) {
    return context.PrintError(history.error());
  }
  Json rows = Json::array();
  std::string text;
  for (const Judgement& item : history->judgements()) {
    const std::string verdict(
        NameOf(configuration::kVerdictNames, item.verdict));
    rows.push_back({{"offset", item.offset.value},
                    {"verdict", verdict},
                    {"version", item.version},
                    {"publisher", item.publisher},
                    {"publication", ToString(item.publication)},
                    {"current", item.current.value},
                    {"detail", item.detail}});
    text += std::to_string(item.offset.value) + "  " + verdict + "  " +
            item.version + "  " + item.publisher + "  " + item.detail + "\n";
  }
  context.options.print(context.options.json ? rows.dump(2) + "\n" : text);
  return kOk;
}

std::uint64_t ActiveOffset(const ScrapedPage& page) {
  if (!page.body.ok()) {
    return 0;
  }
  const Json status = Json::parse(page.body.value(), nullptr, false);
  if (!status.is_object() || !status.contains("manifest") ||
      !status["manifest"].is_object()) {
    return 0;
  }
  return status["manifest"].value("offset", std::uint64_t{0});
}

// The processes that do not have the manifest yet or do not answer.
std::vector<http::Address> ProcessesBehind(
    const std::vector<http::Address>& processes,
    std::uint64_t wanted,
    Duration timeout) {
  std::vector<http::Address> behind;
  for (const ScrapedPage& page : Scrape(processes, "/status", timeout, {})) {
    if (ActiveOffset(page) < wanted) {
      behind.push_back(page.address);
    }
  }
  return behind;
}

// Without a pause between two polls, a process that is behind is queried as
// fast as the processes can answer. That occupies a core of the operator's
// machine and puts load on every process.
constexpr std::chrono::milliseconds kPollInterval{100};

int Wait(CommandContext& context, const std::string& offset_text) {
  const std::uint64_t wanted = std::strtoull(offset_text.c_str(), nullptr, 10);
  const std::vector<http::Address> nodes = context.Nodes();
  if (wanted == 0 || nodes.empty()) {
    return context.PrintError(CommandExit::kUsage,
                              "manifest wait: expected OFFSET and --nodes");
  }
  const Instant until = MonotonicNow() + context.options.timeout;
  std::vector<http::Address> behind = nodes;
  for (;;) {
    behind = ProcessesBehind(behind, wanted, context.options.timeout);
    if (behind.empty()) {
      context.options.print("in force on " + std::to_string(nodes.size()) +
                            " processes\n");
      return kOk;
    }
    if (MonotonicNow() >= until) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::string names;
  for (const http::Address& address : behind) {
    names += " " + http::ToString(address);
  }
  return context.PrintError(CommandExit::kTimeout,
                            "not yet in force on" + names);
}

}  // namespace

int RunManifestCommand(CommandContext& context,
                       const std::vector<std::string>& rest) {
  const std::string verb = rest.empty() ? std::string() : rest[0];
  if (verb == "check" && rest.size() == 2) {
    return Check(context, rest[1]);
  }
  if (verb == "diff" && rest.size() == 3) {
    return Diff(context, rest[1], rest[2]);
  }
  if (verb == "publish" && rest.size() == 2) {
    return Publish(context, rest[1]);
  }
  if (verb == "show" && rest.size() == 1) {
    return Show(context);
  }
  if (verb == "history" && rest.size() == 1) {
    return History(context);
  }
  if (verb == "wait" && rest.size() == 2) {
    return Wait(context, rest[1]);
  }
  return context.PrintError(
      CommandExit::kUsage,
      "manifest: expected check FILE, diff A B, publish FILE, show, history "
      "or wait OFFSET");
}

}  // namespace acacialug::control
