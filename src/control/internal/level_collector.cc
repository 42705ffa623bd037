#include "control/level_collector.h"

#include <QEventLoop>
#include <QTimer>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "cluster/http_log.h"
#include "control/scraper.h"
#include "framework/http/http_client.h"
#include "framework/metrics/exposition.h"
#include "service_levels/digest_codec.h"

namespace acacialug::control {
namespace {

// Keeps an answer of the log below the client's bound even if every record
// has as many series and causes as a process may hold.
constexpr std::size_t kRecordsPerRead = 64;
constexpr int kStatusNotFound = 404;

// The counters of an agent for events that make a request miss its target.
constexpr std::array<std::string_view, 6> kAgentCounters = {
    "refused",         "engine_failures",
    "sessions_lapsed", "reservations_lapsed",
    "exports_lapsed",  "streams_stalled"};

void AddAgentCounters(const metrics::Snapshot& snapshot, BurnSources& sources) {
  for (const std::string_view name : kAgentCounters) {
    const metrics::SeriesValue* value =
        snapshot.Find("acacialug_agent_" + std::string(name) + "_total", {});
    const auto* count =
        value == nullptr ? nullptr : std::get_if<std::uint64_t>(value);
    if (count != nullptr && *count > 0) {
      sources.agent_counters[std::string(name)] += *count;
    }
  }
}

void NameFailed(const Error& error,
                const std::string& address,
                BurnSources& sources) {
  (error.result_code() == ResultCode::kNodeUnreachable ? sources.unreachable
                                                       : sources.unreadable)
      .push_back(address);
}

void QueryAgents(const std::vector<http::Address>& agents,
                 Duration timeout,
                 BurnSources& sources) {
  for (const ScrapedPage& page : Scrape(agents, "/metrics.json", timeout, {})) {
    const std::string address = http::ToString(page.address);
    if (!page.body.ok()) {
      NameFailed(page.body.error(), address, sources);
      continue;
    }
    const Result<metrics::Snapshot> snapshot =
        metrics::FromJson(page.body.value());
    if (!snapshot.ok()) {
      sources.unreadable.push_back(address);
      continue;
    }
    ++sources.agents;
    AddAgentCounters(*snapshot, sources);
  }
}

// Returns the nodes that are not entries.
std::vector<http::Address> QueryEntries(const CollectorOptions& options,
                                        Collected& into) {
  std::vector<http::Address> others;
  std::vector<NodeRequest> node_requests;
  node_requests.reserve(options.nodes.size());
  for (const http::Address& node : options.nodes) {
    node_requests.push_back(
        {.address = node, .path = service_levels::kLevelPagePath});
  }
  for (const NodeAnswer& answer :
       QueryNodes(node_requests, {.timeout = options.timeout,
                                 .max_answer_bytes = options.max_answer_bytes,
                                 .on_progress = options.on_progress})) {
    const std::string address = http::ToString(answer.address);
    if (!answer.response.ok()) {
      NameFailed(answer.response.error(), address, into.sources);
      continue;
    }
    if (answer.response->status == kStatusNotFound) {
      others.push_back(answer.address);
      continue;
    }
    const Result<service_levels::LevelPage> levels =
        service_levels::DecodeLevelPage(answer.response->body);
    if (!levels.ok()) {
      into.sources.unreadable.push_back(address);
      continue;
    }
    into.fold.AddLive(*levels);
  }
  return others;
}

// Reads once and waits on the event loop; empty when no answer arrived in time.
std::optional<cluster::ILog::Read> ReadOnce(cluster::ILog& log,
                                            LogOffset from,
                                            Duration timeout) {
  QEventLoop loop;
  // Shared, because an answer may arrive after the wait has timed out.
  auto answer = std::make_shared<std::optional<cluster::ILog::Read>>();
  auto waiting = std::make_shared<QEventLoop*>(&loop);
  log.ReadFrom(service_levels::kDigestStream, from, kRecordsPerRead,
               Duration::zero(),
               [answer, waiting](const Result<cluster::ILog::Read>& read) {
                 if (*waiting == nullptr) {
                   return;
                 }
                 if (read.ok()) {
                   *answer = read.value();
                 }
                 (*waiting)->quit();
               });
  QTimer::singleShot(std::chrono::ceil<std::chrono::milliseconds>(timeout),
                     &loop, &QEventLoop::quit);
  loop.exec();
  *waiting = nullptr;
  return *answer;
}

}  // namespace

bool ReadDigests(cluster::ILog& log,
                 Duration timeout,
                 service_levels::LevelFold& fold) {
  LogOffset from;
  std::optional<LogOffset> end;
  while (!end || from < *end) {
    const std::optional<cluster::ILog::Read> read =
        ReadOnce(log, from, timeout);
    if (!read) {
      return false;
    }
    // Records are appended during the read, so the loop stops at the end that
    // the first answer named.
    end = end.value_or(read->next);
    for (const cluster::ILog::Record& record : read->records) {
      fold.AddRecord(record.payload);
    }
    const LogOffset next =
        read->records.empty()
            ? read->first_kept
            : LogOffset(read->records.back().offset.value + 1);
    if (next <= from) {
      return from >= *end;
    }
    from = next;
  }
  return true;
}

Collected CollectLevels(const CollectorOptions& options) {
  Collected collected;
  const std::vector<http::Address> others = QueryEntries(options, collected);
  QueryAgents(others, options.timeout, collected.sources);
  if (options.log) {
    http::Client client({.silence_timeout = options.timeout});
    cluster::HttpLog log(*options.log, client);
    collected.sources.log = ReadDigests(log, options.timeout, collected.fold)
                                ? LogState::kRead
                                : LogState::kUnavailable;
  }
  return collected;
}

}  // namespace acacialug::control
