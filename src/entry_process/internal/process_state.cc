#include "entry_process/internal/process_state.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>
#include <utility>

namespace acacialug::entry_process {
namespace {

using Json = nlohmann::ordered_json;

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// 64-bit numbers beyond 2^53 are not safe in every JSON reader.
std::string NumberText(std::uint64_t value) {
  return std::to_string(value);
}

Json LoadJson(const protocol::EndpointLoad& load) {
  return {{"running", load.running},
          {"limit", load.limit},
          {"queued", load.queued},
          {"free_kv_tokens", load.free_kv_tokens},
          {"total_kv_tokens", load.total_kv_tokens},
          {"work_ahead_ms", Milliseconds(load.work_ahead)},
          {"next_slot_in_ms", Milliseconds(load.next_slot_in)},
          {"token_interval_us", load.token_interval.count()},
          {"prefill_tokens_per_second", load.prefill_tokens_per_second},
          {"leaving", load.leaving}};
}

Json BoardJson(int shard, const ShardBoard& board) {
  Json endpoints = Json::object();
  for (const auto& [endpoint, view] : board.Endpoints()) {
    endpoints[endpoint.text] = {
        {"connected", view.connected},
        {"incarnation", NumberText(view.incarnation.value)},
        {"load", LoadJson(view.load)}};
  }
  return {{"shard", shard},
          {"alive_requests", board.alive()},
          {"drained", board.drained()},
          {"endpoints", std::move(endpoints)}};
}

}  // namespace

void ShardBoard::SetRequests(std::size_t alive, bool drained_now) {
  this->alive_requests.store(alive, std::memory_order_relaxed);
  this->is_drained.store(drained_now);
}

void ShardBoard::SetWelcomed(const EndpointId& endpoint,
                             Incarnation incarnation) {
  const std::scoped_lock lock(this->mutex);
  this->endpoints[endpoint].connected = true;
  this->endpoints[endpoint].incarnation = incarnation;
}

void ShardBoard::SetClosed(const EndpointId& endpoint) {
  const std::scoped_lock lock(this->mutex);
  this->endpoints[endpoint].connected = false;
}

void ShardBoard::Remove(const EndpointId& endpoint) {
  const std::scoped_lock lock(this->mutex);
  this->endpoints.erase(endpoint);
}

void ShardBoard::SetLoad(const EndpointId& endpoint,
                         const protocol::EndpointLoad& load) {
  const std::scoped_lock lock(this->mutex);
  this->endpoints[endpoint].load = load;
}

void ShardBoard::NoteRunning(Instant now) {
  this->ran_at.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

std::map<EndpointId, EndpointView> ShardBoard::Endpoints() const {
  const std::scoped_lock lock(this->mutex);
  return this->endpoints;
}

ProcessState::ProcessState(Options state_options)
    : options(std::move(state_options)) {
  for (int shard = 0; shard < this->options.shards; ++shard) {
    this->boards.push_back(std::make_unique<ShardBoard>(
        this->options.trace_bytes /
        static_cast<std::size_t>(this->options.shards)));
  }
}

void ProcessState::SetManifest(
    std::shared_ptr<const manifest::Manifest> manifest) {
  this->NoteManifestOffset(manifest->offset);
  const std::scoped_lock lock(this->mutex);
  this->newest = std::move(manifest);
}

bool ProcessState::NoteManifestOffset(LogOffset offset) {
  std::uint64_t highest = this->highest_received.load();
  while (offset.value > highest) {
    if (this->highest_received.compare_exchange_weak(highest, offset.value)) {
      return true;
    }
  }
  return false;
}

std::shared_ptr<const manifest::Manifest> ProcessState::manifest() const {
  const std::scoped_lock lock(this->mutex);
  return this->newest;
}

bool ProcessState::AllDrained() const {
  return std::all_of(this->boards.begin(), this->boards.end(),
                     [](const auto& board) { return board->drained(); });
}

std::size_t ProcessState::AliveRequests() const {
  return std::accumulate(
      this->boards.begin(), this->boards.end(), std::size_t{0},
      [](std::size_t sum, const auto& board) { return sum + board->alive(); });
}

// The services without an agent in some shard; counts the others in `served`.
std::vector<ServiceName> ProcessState::UnservedBy(
    const manifest::Manifest& manifest,
    std::size_t& served) const {
  std::map<ServiceName, int> shards_serving;
  for (const auto& board : this->boards) {
    std::set<ServiceName> services;
    for (const auto& [endpoint, view] : board->Endpoints()) {
      const manifest::Endpoint* record = manifest.FindEndpoint(endpoint);
      if (view.connected && record != nullptr) {
        services.insert(record->service);
      }
    }
    for (const ServiceName& service : services) {
      ++shards_serving[service];
    }
  }
  std::vector<ServiceName> unserved;
  for (const manifest::Service& service : manifest.services) {
    if (shards_serving[service.name] < this->options.shards) {
      unserved.push_back(service.name);
    } else {
      ++served;
    }
  }
  return unserved;
}

Readiness ProcessState::CheckReady(Instant now) {
  const std::shared_ptr<const manifest::Manifest> in_force = this->manifest();
  if (this->draining()) {
    return {.reason = "the process is leaving"};
  }
  if (in_force == nullptr) {
    return {.reason = "no manifest is in force"};
  }
  std::size_t served = 0;
  Readiness readiness{.unserved = this->UnservedBy(*in_force, served)};
  const bool waited = this->was_ready.load() ||
                      now - this->options.started >= this->options.ready_wait;
  readiness.ready = readiness.unserved.empty() || (waited && served > 0);
  if (readiness.ready) {
    this->was_ready.store(true);
  } else {
    readiness.reason = "services without a connected agent";
  }
  return readiness;
}

trace::TraceCounts ProcessState::CountTraces() const {
  trace::TraceCounts sum;
  for (const auto& board : this->boards) {
    const trace::TraceCounts counts = board->traces().counts();
    sum.kept += counts.kept;
    sum.alive += counts.alive;
    sum.bytes += counts.bytes;
    sum.dropped += counts.dropped;
    sum.not_traced += counts.not_traced;
    sum.steps_left_out += counts.steps_left_out;
  }
  return sum;
}

operations::EntryRequests ProcessState::AliveTraces(std::size_t limit,
                                                    Instant now) const {
  operations::EntryRequests page{.entry = this->options.entry,
                                 .counts = this->CountTraces()};
  for (const auto& board : this->boards) {
    std::vector<trace::Trace> alive = board->traces().Alive(limit, now);
    page.requests.insert(page.requests.end(),
                         std::make_move_iterator(alive.begin()),
                         std::make_move_iterator(alive.end()));
  }
  std::stable_sort(page.requests.begin(), page.requests.end(),
                   [](const trace::Trace& left, const trace::Trace& right) {
                     return left.age > right.age;
                   });
  page.requests.resize(std::min(page.requests.size(), limit));
  return page;
}

Result<operations::EntryRequests> ProcessState::FindTrace(
    const RequestId& request,
    Instant now) const {
  for (const auto& board : this->boards) {
    if (std::optional<trace::Trace> found =
            board->traces().Find(request, now)) {
      return operations::EntryRequests{.entry = this->options.entry,
                                       .counts = this->CountTraces(),
                                       .requests = {std::move(*found)}};
    }
  }
  return Error(ResultCode::kUnknownRequest, ToString(request));
}

std::string ProcessState::RenderStatus(Instant now) {
  const std::shared_ptr<const manifest::Manifest> in_force = this->manifest();
  const Readiness readiness = this->CheckReady(now);
  Json unserved = Json::array();
  for (const ServiceName& service : readiness.unserved) {
    unserved.push_back(service.text);
  }
  Json manifest = nullptr;
  if (in_force != nullptr) {
    manifest = {{"offset", in_force->offset.value},
                {"version", in_force->version}};
  }
  Json shards = Json::array();
  for (int shard = 0; shard < this->options.shards; ++shard) {
    shards.push_back(BoardJson(shard, *this->boards[shard]));
  }
  const Json page = {
      {"entry", this->options.entry.text},
      {"incarnation", NumberText(this->options.incarnation.value)},
      {"uptime_ms", Milliseconds(now - this->options.started)},
      {"ready", readiness.ready},
      {"reason", readiness.reason},
      {"unserved", std::move(unserved)},
      {"draining", this->draining()},
      {"manifest", std::move(manifest)},
      {"shards", std::move(shards)}};
  return page.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace acacialug::entry_process
