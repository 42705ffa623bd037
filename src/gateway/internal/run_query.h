#ifndef GATEWAY_INTERNAL_RUN_QUERY_H_
#define GATEWAY_INTERNAL_RUN_QUERY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/internal/relay_context.h"

namespace acacialug::gateway {

// What an endpoint says about a request that was sent to it.
enum class RunState {
  kRuns,        // its report lists the request
  kDoesNotRun,  // its report does not
  kEnded,       // no connection can be opened, or another endpoint answers
  kSilent,      // no report comes, though something may take connections
  kUnknown,     // it can't be asked, or rejects the question as its own
};
inline constexpr EnumNames<RunState, 5> kRunStateNames = {
    {{RunState::kRuns, "runs"},
     {RunState::kDoesNotRun, "does_not_run"},
     {RunState::kEnded, "ended"},
     {RunState::kSilent, "silent"},
     {RunState::kUnknown, "unknown"}}};

struct RunAnswer {
  RunState state = RunState::kUnknown;
  // Of the process that reported, as EndpointRecord::started_at_ms.
  std::int64_t started_at_ms = 0;
};

// Asks an endpoint for a request that was sent to it: the end of a connection
// says neither that the endpoint has let go of the request nor that it has
// completed it. Reports are noted in RelayContext::processes_seen. Runs on the
// core's thread; not thread safe.
class RunQuery : public std::enable_shared_from_this<RunQuery> {
 public:
  // An endpoint that watches its connections closes one within this time.
  static constexpr Duration kCloseWait = 50ms;
  // Reports are as of some hundred milliseconds ago.
  static constexpr Duration kMaxReportAge = 500ms;

  using Done = std::function<void(const RunAnswer& answer)>;

  struct Options {
    EndpointRecord endpoint;
    std::string request;  // the id by which the endpoint knows it
    Duration wait{};      // before it is asked
    // Not on a kept connection, whose end may be older than the question.
    bool fresh_connection = false;
    // For how long a report is awaited, at the least for a response timeout.
    // Within it exchanges that fail are repeated, otherwise a few times.
    Duration patience{};
    // Asks again while the request runs, until the patience ends. Only a report
    // that must know of the request shows that it does not run.
    bool until_run_ends = false;
    Instant sent_at{};  // of the request
  };

  // `relay_context` outlives this object.
  RunQuery(RelayContext& relay_context, Options query_options);

  // Must be called once. `on_done` runs once, later, unless Cancel is called
  // first.
  void Begin(Done on_done);
  // May be called repeatedly.
  void Cancel();

 private:
  Instant Now() const { return this->context.hooks.now(); }
  void Ask();
  void OnError(bool sent);
  // After an exchange that brought no report.
  void AskAgain();
  void AskAfter(Duration wait);
  // For how long to wait until the next question after this report; empty if it
  // decides.
  std::optional<Duration> WaitAfter(const RunReport& report) const;
  void OnRejected();
  void OnAnswer(int status, std::string_view body);
  void End(RunState state, std::int64_t started_at_ms = 0);

  RelayContext& context;
  const Options options;
  Done done;
  http::Client::ExchangeId exchange = 0;
  TimerId timer = 0;
  Instant begun_at{};
  Instant asked_at{};  // last
  std::uint32_t failures = 0;
  std::uint32_t unsent = 0;  // of the latest failures, in a row
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_RUN_QUERY_H_
