#ifndef GATEWAY_INTERNAL_END_CONFIRMATION_H_
#define GATEWAY_INTERNAL_END_CONFIRMATION_H_

#include <functional>
#include <memory>
#include <string>

#include "gateway/internal/relay_context.h"
#include "gateway/internal/run_query.h"

namespace acacialug::gateway {

// Finds out whether an answer without length or chunks is whole once its
// connection has ended. All connections of a process that is killed end in
// order, wherever its answers stand. Only a report of its endpoint shows that
// the answer is whole: what listens at the address of one that has ended may
// take connections, and answer. Runs on the core's thread; not thread safe.
class EndConfirmation : public std::enable_shared_from_this<EndConfirmation> {
 public:
  struct Options {
    EndpointRecord endpoint;  // as of the time of sending
    std::string request;      // the id by which the endpoint knows it
    Instant sent_at;
  };

  struct Outcome {
    // The process that made the answer lives, or can't be asked.
    bool whole = false;
    RunAnswer answer;
    bool same_process = false;
  };
  using Done = std::function<void(const Outcome& outcome)>;

  // `relay_context` outlives this object.
  EndConfirmation(RelayContext& relay_context, Options confirmation_options);

  // The head of a success without length or chunks has just arrived. Must be
  // called once, before all other methods.
  void Begin();
  // The answer's connection has ended in order. Must be called at most once.
  // `on_done` runs once, later, unless Cancel is called first; a report is
  // awaited for `patience`.
  void Confirm(Duration patience, Done on_done);
  // May be called repeatedly.
  void Cancel();

 private:
  Outcome Judge(const RunAnswer& answer) const;
  void Ask(RunQuery::Options query_options, RunQuery::Done on_answer);

  RelayContext& context;
  const Options options;
  // The process that is known to have made the answer.
  ProcessesSeen::Maker maker;
  std::shared_ptr<RunQuery> query;  // the latest; may have ended
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_END_CONFIRMATION_H_
