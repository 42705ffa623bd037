#include "agent/internal/prefill_queue.h"

#include <algorithm>
#include <utility>

namespace acacialug::agent {

PrefillQueue::OrderHook PrefillQueue::HookOf(PrefillOrder order) {
  switch (order) {
    case PrefillOrder::kDeadline:
      return [](const QueuedPrefill& left, const QueuedPrefill& right) {
        return left.deadline < right.deadline;
      };
    case PrefillOrder::kNewest:
      return [](const QueuedPrefill& left, const QueuedPrefill& right) {
        return left.number > right.number;
      };
    case PrefillOrder::kArrival:
      break;
  }
  return [](const QueuedPrefill& left, const QueuedPrefill& right) {
    return left.number < right.number;
  };
}

PrefillQueue::PrefillQueue(std::size_t queue_limit, OrderHook hook)
    : limit(queue_limit), before{std::move(hook)}, order(this->before) {}

bool PrefillQueue::Before::operator()(const QueuedPrefill* left,
                                      const QueuedPrefill* right) const {
  const std::int32_t left_priority = left->start.generation.priority;
  const std::int32_t right_priority = right->start.generation.priority;
  if (left_priority != right_priority) {
    return left_priority < right_priority;
  }
  if (this->hook(*left, *right)) {
    return true;
  }
  return !this->hook(*right, *left) && left->number < right->number;
}

void PrefillQueue::Add(QueuedPrefill prefill) {
  this->Remove(prefill.start.attempt);
  prefill.number = ++this->arrivals;
  const AttemptId attempt = prefill.start.attempt;
  this->work += prefill.work;
  this->latest_starts.Set(attempt, prefill.latest_start);
  const auto added =
      this->prefills.insert_or_assign(attempt, std::move(prefill)).first;
  this->order.insert(&added->second);
}

std::optional<QueuedPrefill> PrefillQueue::TakeNext() {
  if (this->order.empty()) {
    return std::nullopt;
  }
  return this->TakeOut((*this->order.begin())->start.attempt);
}

void PrefillQueue::Remove(const AttemptId& attempt) {
  if (this->Contains(attempt)) {
    this->TakeOut(attempt);
  }
}

std::vector<QueuedPrefill> PrefillQueue::Expire(Instant now) {
  std::vector<QueuedPrefill> late;
  while (const std::optional<AttemptId> attempt =
             this->latest_starts.PopDue(now)) {
    late.push_back(this->TakeOut(*attempt));
  }
  return late;
}

double PrefillQueue::WorkBefore(const QueuedPrefill& prefill) const {
  QueuedPrefill added;
  added.start.generation.priority = prefill.start.generation.priority;
  added.deadline = prefill.deadline;
  added.number = this->arrivals + 1;
  double ahead = 0;  // at most `limit` of them
  for (const QueuedPrefill* other : this->order) {
    if (!this->before(other, &added)) {
      break;
    }
    ahead += other->work;
  }
  return ahead;
}

bool PrefillQueue::Contains(const AttemptId& attempt) const {
  return this->prefills.contains(attempt);
}

std::vector<AttemptId> PrefillQueue::attempts() const {
  std::vector<AttemptId> ids;
  for (const QueuedPrefill* prefill : this->order) {
    ids.push_back(prefill->start.attempt);
  }
  return ids;
}

QueuedPrefill PrefillQueue::TakeOut(const AttemptId& attempt) {
  const auto found = this->prefills.find(attempt);
  this->order.erase(&found->second);
  this->latest_starts.Remove(attempt);
  QueuedPrefill prefill = std::move(found->second);
  this->prefills.erase(found);
  // Sums of doubles accumulate errors; the work of an empty queue is set to
  // zero.
  this->work = this->prefills.empty() ? 0 : this->work - prefill.work;
  return prefill;
}

}  // namespace acacialug::agent
