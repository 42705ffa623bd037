#ifndef SCENARIO_INTERNAL_CALLERS_H_
#define SCENARIO_INTERNAL_CALLERS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "entry/types/entry_messages.h"
#include "scenario/internal/checker.h"
#include "scenario/internal/event_queue.h"
#include "scenario/types/request.h"

namespace acacialug::scenario {

class EntryHost;

// The callers of a simulation and all their requests. Not thread safe.
class Callers {
 public:
  // Returns null if no entry of that name runs.
  using FindEntry =
      std::function<std::shared_ptr<EntryHost>(const std::string&)>;
  using InEntry = std::function<void(std::function<void()>)>;

  Callers(EventQueue& event_queue,
          Checker& simulation_checker,
          FindEntry find_entry);

  // Both return the number of the request.
  std::uint64_t Send(const Generation& generation);
  std::uint64_t Send(const Call& call);
  // The caller disconnects. Does nothing if the request has ended.
  void Cancel(std::uint64_t number);
  // The connections of callers to this incarnation of an entry are closed.
  void OnEntryEnded(const EntryHost& entry);

  // ---- answers of entries ----
  void OnText(const entry::AnswerText& text, const InEntry& in_entry);
  void OnEnd(const entry::AnswerEnd& end);
  void OnCallAnswered(const entry::AnswerCall& answer);
  void OnError(const entry::AnswerError& error);

  // Precondition: `number` was returned by Send.
  const Request& Get(std::uint64_t number) const;
  const std::deque<Request>& requests() const { return this->all; }

 private:
  Request& Add(const std::string& entry);
  Request* Find(const RequestId& id);
  void End(Request& request, RequestState state);

  EventQueue& queue;
  Checker& checker;
  FindEntry entries;
  std::deque<Request> all;
  std::map<RequestId, std::uint64_t> by_id;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_CALLERS_H_
