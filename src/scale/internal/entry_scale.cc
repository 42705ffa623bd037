#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "entry/entry_core.h"
#include "scale/internal/sections.h"
#include "scale/internal/synthetic_manifest.h"

namespace acacialug::scale {
namespace {

constexpr std::size_t kPromptBytes = 4096;

// An EntryCore between agents that answer at once and callers that read
// everything. Its processor time includes that of these answers, and so is an
// upper bound.
class EntryHarness {
 public:
  EntryHarness(std::shared_ptr<const manifest::Manifest> manifest,
               std::uint32_t working_set)
      : core({.id = EntryId("entry-1"),
              .incarnation = Incarnation(99),
              .domain = manifest->domains.front(),
              .working_set = working_set},
             this->random) {
    this->core.OnManifest(std::move(manifest), this->now);
  }

  // Executes actions of the core until it requests no more.
  void Settle() {
    for (auto actions = this->core.TakeActions(); !actions.empty();
         actions = this->core.TakeActions()) {
      for (const entry::EntryAction& action : actions) {
        std::visit([this](const auto& typed) { this->Do(typed); }, action);
      }
    }
  }

  void Generate(std::size_t prompt_bytes, std::size_t caller = 0) {
    const std::size_t number = this->next_request++;
    const std::string prompt(prompt_bytes, 'x');
    this->core.OnGeneration(
        {.request = {.high = number * 0x9e3779b97f4a7c15U, .low = number},
         .caller = CallerName("customer-" + std::to_string(caller)),
         .generation = {.model =
                            acacialug::ModelName(ModelName(number % kModels)),
                        .body = prompt,
                        .max_tokens = 270},
         .prompt_text = prompt},
        this->now);
    this->Settle();
  }

  // Sends one more chunk of every stream. Advances the time, but by less than a
  // session's lease within one measurement.
  void ChunkAll() {
    this->now += 100us;
    for (Stream& stream : this->streams) {
      this->core.OnMessage(
          stream.endpoint,
          protocol::Chunk{.attempt = stream.attempt,
                          .sequence = SequenceNumber(stream.chunks++),
                          .tokens = 1,
                          .text = " token"},
          this->now);
      this->Settle();
    }
  }

  void EndAll() {
    for (const Stream& stream : std::exchange(this->streams, {})) {
      this->core.OnMessage(
          stream.endpoint,
          protocol::Ended{.attempt = stream.attempt,
                          .chunks = SequenceNumber(stream.chunks),
                          .load = Load()},
          this->now);
      this->Settle();
    }
  }

  // Advances the time by `duration` and runs all timers.
  void AdvanceBy(Duration duration) {
    const Instant end = this->now + duration;
    while (this->core.next_timer() <= end) {
      this->now = std::max(this->now, this->core.next_timer());
      this->core.OnTimer(this->now);
      this->Settle();
    }
    this->now = end;
  }

  entry::EntryCore& Core() { return this->core; }
  std::size_t Sessions() const { return this->sessions; }
  std::size_t Streams() const { return this->streams.size(); }
  std::size_t Renewals() const { return this->renewals; }

 private:
  struct Stream {
    EndpointId endpoint;
    AttemptId attempt;
    std::uint64_t chunks = 0;
  };

  static protocol::EndpointLoad Load() {
    return {.free_kv_tokens = 1000000000,
            .total_kv_tokens = 1000000000,
            .limit = 100000,
            .token_interval = 30ms,
            .prefill_tokens_per_second = 1e6};
  }

  void Tell(const EndpointId& endpoint, const protocol::AgentToEntry& message) {
    this->core.OnMessage(endpoint, message, this->now);
  }

  void Do(const entry::ConnectEndpoint& connect) {
    this->core.OnEndpointConnected(connect.endpoint, this->now);
  }
  void Do(const entry::SendToAgent& sent) {
    std::visit(
        [this, &sent](const auto& typed) { this->Reply(sent.endpoint, typed); },
        sent.message);
  }
  void Do(const entry::AnswerText& text) {
    this->core.OnDelivered(text.request, text.index, this->now);
  }
  void Do(const entry::AnswerError& error) {
    std::fprintf(stderr, "scale_bench: a request was refused: %d\n",
                 static_cast<int>(error.code));
    std::abort();
  }
  template <typename Action>
  void Do(const Action& /*other*/) {}

  void Reply(const EndpointId& endpoint, const protocol::Hello& /*hello*/) {
    ++this->sessions;
    this->Tell(endpoint, protocol::Welcome{.endpoint = endpoint,
                                           .incarnation = Incarnation(7),
                                           .lease = 3s,
                                           .load = Load()});
  }
  void Reply(const EndpointId& endpoint, const protocol::Renew& /*renew*/) {
    ++this->renewals;
    this->Tell(endpoint, protocol::Renewed{.load = Load()});
  }
  void Reply(const EndpointId& endpoint, const protocol::Reserve& reserve) {
    this->Tell(endpoint,
               protocol::Reserved{.attempt = reserve.attempt, .load = Load()});
  }
  void Reply(const EndpointId& endpoint, const protocol::StartPrefill& start) {
    this->Tell(endpoint,
               protocol::Prefilled{.attempt = start.attempt,
                                   .kv = {.prefill_endpoint = endpoint,
                                          .transfer_params = "{}",
                                          .tokens = 1000,
                                          .bytes = 131072000},
                                   .usage = {.prompt_tokens = 1000},
                                   .lifetime = 800ms,
                                   .load = Load()});
  }
  void Reply(const EndpointId& endpoint, const protocol::StartDecode& start) {
    this->streams.push_back({.endpoint = endpoint, .attempt = start.attempt});
  }
  template <typename Message>
  void Reply(const EndpointId& /*endpoint*/, const Message& /*other*/) {}

  RandomSource random{42};
  entry::EntryCore core;
  Instant now{1h};
  std::vector<Stream> streams;
  std::size_t sessions = 0;
  std::size_t renewals = 0;
  std::uint64_t next_request = 1;
};

std::shared_ptr<const manifest::Manifest> Shared(std::size_t endpoints,
                                                 std::size_t callers = 0) {
  return std::make_shared<const manifest::Manifest>(
      MakeManifest(endpoints, callers));
}

// The core's own heap, without the manifest, which is shared.
double BytesPerEndpoint(std::size_t endpoints) {
  const auto manifest = Shared(endpoints);
  const double heap = HeapBytes();
  const EntryHarness entry(manifest, 64);
  return HeapBytes() - heap;
}

double MicrosecondsOfManifest(std::size_t endpoints) {
  const auto first = Shared(endpoints);
  auto second = std::make_shared<manifest::Manifest>(*first);
  second->offset = LogOffset(2);
  EntryHarness entry(first, 64);
  entry.Settle();
  const double begin = ThreadMicroseconds();
  entry.Core().OnManifest(second, Instant(1h));
  entry.Settle();
  return ThreadMicroseconds() - begin;
}

// Aborts if another number of sessions was opened than requested.
void CheckCount(const char* what, std::size_t expected, std::size_t actual) {
  if (expected != actual) {
    std::fprintf(stderr, "scale_bench: %zu %s instead of %zu\n", actual, what,
                 expected);
    std::abort();
  }
}

// There are 18 pools, so that the working set has x / 18 endpoints of each.
double BytesOfSessions(std::size_t sessions) {
  const auto manifest = Shared(12000);
  const double heap = HeapBytes();
  EntryHarness entry(manifest, static_cast<std::uint32_t>(sessions / 18));
  entry.Settle();
  CheckCount("sessions", sessions, entry.Sessions());
  return HeapBytes() - heap;
}

double MicrosecondsOfRenewals(std::size_t sessions) {
  constexpr std::size_t kSeconds = 10;
  EntryHarness entry(Shared(12000), static_cast<std::uint32_t>(sessions / 18));
  entry.Settle();
  entry.AdvanceBy(3s);
  const std::size_t before = entry.Renewals();
  const double begin = ThreadMicroseconds();
  entry.AdvanceBy(Duration(1s) * kSeconds);
  const double used = ThreadMicroseconds() - begin;
  return used / static_cast<double>(entry.Renewals() - before) *
         static_cast<double>(sessions);
}

double BytesOfStreams(std::size_t streams) {
  EntryHarness entry(Shared(1000), 16);
  entry.Settle();
  const double heap = HeapBytes();
  for (std::size_t i = 0; i < streams; ++i) {
    entry.Generate(kPromptBytes);
  }
  entry.ChunkAll();
  CheckCount("streams", streams, entry.Streams());
  return HeapBytes() - heap;
}

double MicrosecondsOfRequests(std::size_t requests) {
  EntryHarness entry(Shared(1000), 64);
  entry.Settle();
  const double begin = ThreadMicroseconds();
  for (std::size_t i = 0; i < requests; ++i) {
    entry.Generate(kPromptBytes);
    entry.ChunkAll();
    entry.EndAll();
  }
  const double used = ThreadMicroseconds() - begin;
  CheckCount("completed", requests, entry.Core().counters().completed);
  return used;
}

double MicrosecondsByPrompt(std::size_t kibibytes) {
  constexpr std::size_t kRequests = 200;
  EntryHarness entry(Shared(1000), 64);
  entry.Settle();
  const double begin = ThreadMicroseconds();
  for (std::size_t i = 0; i < kRequests; ++i) {
    entry.Generate(1024 * kibibytes);
    entry.ChunkAll();
    entry.EndAll();
  }
  return (ThreadMicroseconds() - begin) / kRequests;
}

double MicrosecondsOfChunks(std::size_t chunks) {
  constexpr std::size_t kStreams = 200;
  EntryHarness entry(Shared(1000), 64);
  entry.Settle();
  for (std::size_t i = 0; i < kStreams; ++i) {
    entry.Generate(kPromptBytes);
  }
  const double begin = ThreadMicroseconds();
  for (std::size_t i = 0; i < chunks / kStreams; ++i) {
    entry.ChunkAll();
  }
  return ThreadMicroseconds() - begin;
}

// Callers without limits of their own, one after another.
double BytesOfCallers(std::size_t callers) {
  EntryHarness entry(Shared(1000, 31000), 16);
  entry.Settle();
  const double heap = HeapBytes();
  for (std::size_t i = 0; i < callers; ++i) {
    entry.Generate(64, i);
    entry.EndAll();
  }
  return HeapBytes() - heap;
}

}  // namespace

std::vector<Sweep> EntrySweeps() {
  // From these sizes on every pool is larger than the working set.
  const std::vector<std::size_t> endpoints = {3000, 6000, 9000, 12000};
  const std::vector<std::size_t> sessions = {144, 288, 576, 1152};
  return {{"entry.endpoint_memory", "bytes", "endpoints in the manifest",
           endpoints, BytesPerEndpoint},
          {"entry.manifest_cpu", "us", "endpoints in the manifest", endpoints,
           MicrosecondsOfManifest},
          {"entry.session_memory", "bytes", "open sessions", sessions,
           BytesOfSessions},
          {"entry.renewal_cpu", "us", "renewals, sent and answered", sessions,
           MicrosecondsOfRenewals},
          {"entry.stream_memory",
           "bytes",
           "open streams, prompt and body of 4 KiB",
           {60, 120, 240, 480},
           BytesOfStreams},
          {"entry.request_cpu",
           "us",
           "requests, one chunk, prompt of 4 KiB",
           {200, 400, 800, 1600},
           MicrosecondsOfRequests},
          {"entry.prompt_cpu",
           "us a request",
           "KiB of prompt",
           {1, 4, 32, 96},
           MicrosecondsByPrompt},
          {"entry.chunk_cpu",
           "us",
           "chunks",
           {2000, 5000, 10000, 20000},
           MicrosecondsOfChunks},
          {"entry.caller_memory",
           "bytes",
           "callers with a limit, seen lately",
           {500, 1000, 2000, 4000},
           BytesOfCallers}};
}

}  // namespace acacialug::scale
