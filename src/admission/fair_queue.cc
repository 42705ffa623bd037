#include "admission/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace acacialug::admission {
namespace {

// The virtual times of callers without requests are kept until there are more
// callers than this. A caller whose time was deleted starts at the current
// virtual time, as a new one does.
constexpr std::size_t kIdleCallers = 4096;

std::int64_t Micros(Instant instant) {
  return instant.time_since_epoch().count();
}

}  // namespace

OrderRule OrderByArrival() {
  return [](const Waiting& waiting) { return Micros(waiting.arrival); };
}

OrderRule OrderByDeadline() {
  return [](const Waiting& waiting) { return Micros(waiting.deadline); };
}

OrderRule OrderByNewest() {
  return [](const Waiting& waiting) { return -Micros(waiting.arrival); };
}

FairQueue::FairQueue(Options queue_options)
    : options(std::move(queue_options)) {}

void FairQueue::RemoveFromIndexes(const CallerName& name,
                                  const CallerQueue& caller) {
  this->by_start.erase({caller.start, name});
  this->by_weighted_length.erase({caller.WeightedLength(), name});
}

void FairQueue::AddToIndexes(const CallerName& name,
                             const CallerQueue& caller) {
  if (!caller.waiting.empty()) {
    this->by_start.emplace(caller.start, name);
    this->by_weighted_length.emplace(caller.WeightedLength(), name);
  }
}

void FairQueue::Insert(const Waiting& waiting) {
  CallerQueue& caller = this->callers[waiting.caller];
  this->RemoveFromIndexes(waiting.caller, caller);
  caller.share = std::max(waiting.share, 1e-6);
  if (caller.waiting.empty()) {
    // An idle caller accumulates no credit.
    caller.start = std::max(caller.start, this->virtual_time);
  }
  const Rank rank{this->options.order(waiting), waiting.request};
  caller.waiting.emplace(rank, waiting);
  this->by_request.insert_or_assign(waiting.request,
                                    std::pair(waiting.caller, rank));
  this->AddToIndexes(waiting.caller, caller);
}

std::optional<RequestId> FairQueue::Push(const Waiting& waiting) {
  this->Insert(waiting);
  if (this->by_request.size() <= this->options.limit) {
    return std::nullopt;
  }
  const auto fullest =
      this->callers.find(std::prev(this->by_weighted_length.end())->second);
  const Rank last = std::prev(fullest->second.waiting.end())->first;
  this->Erase(fullest, last);
  return last.second;
}

void FairQueue::Restore(const Waiting& waiting) {
  CallerQueue& caller = this->callers[waiting.caller];
  this->RemoveFromIndexes(waiting.caller, caller);
  caller.start -= waiting.cost / std::max(waiting.share, 1e-6);
  this->virtual_time = std::min(this->virtual_time, caller.start);
  this->AddToIndexes(waiting.caller, caller);
  this->Insert(waiting);
}

std::optional<Waiting> FairQueue::Pop() {
  if (this->by_start.empty()) {
    return std::nullopt;
  }
  const auto caller = this->callers.find(this->by_start.begin()->second);
  const auto next = caller->second.waiting.begin();
  const Waiting waiting = next->second;
  const Rank rank = next->first;
  this->virtual_time = caller->second.start;
  this->RemoveFromIndexes(caller->first, caller->second);
  caller->second.start += waiting.cost / caller->second.share;
  this->AddToIndexes(caller->first, caller->second);
  this->Erase(caller, rank);
  return waiting;
}

bool FairQueue::Remove(const RequestId& request) {
  const auto found = this->by_request.find(request);
  if (found == this->by_request.end()) {
    return false;
  }
  const auto [name, rank] = found->second;
  this->Erase(this->callers.find(name), rank);
  return true;
}

void FairQueue::Erase(Callers::iterator caller, const Rank& rank) {
  this->RemoveFromIndexes(caller->first, caller->second);
  caller->second.waiting.erase(rank);
  this->AddToIndexes(caller->first, caller->second);
  this->by_request.erase(rank.second);
  if (this->callers.size() > kIdleCallers) {
    this->ForgetIdle();
  }
}

void FairQueue::ForgetIdle() {
  std::erase_if(this->callers, [this](const auto& item) {
    return item.second.waiting.empty();
  });
}

}  // namespace acacialug::admission
