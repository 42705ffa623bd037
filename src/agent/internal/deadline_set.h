#ifndef AGENT_INTERNAL_DEADLINE_SET_H_
#define AGENT_INTERNAL_DEADLINE_SET_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "framework/global/types/instant.h"

namespace acacialug::agent {

// One deadline for each key, in order of time. Every operation is O(log n). Not
// thread safe.
template <typename Key>
class DeadlineSet {
 public:
  // Replaces the key's earlier deadline.
  void Set(const Key& key, Instant due) {
    this->Remove(key);
    this->order.emplace(due, key);
    this->due_of.emplace(key, due);
  }

  // kNever for an unknown key.
  Instant At(const Key& key) const {
    const auto found = this->due_of.find(key);
    return found == this->due_of.end() ? kNever : found->second;
  }

  // An unknown key is no error.
  void Remove(const Key& key) {
    const auto found = this->due_of.find(key);
    if (found == this->due_of.end()) {
      return;
    }
    this->order.erase({found->second, key});
    this->due_of.erase(found);
  }

  // Removes the earliest key whose deadline is at or before `now`.
  std::optional<Key> PopDue(Instant now) {
    if (this->next() > now) {
      return std::nullopt;
    }
    const Key key = this->order.begin()->second;
    this->Remove(key);
    return key;
  }

  // kNever when empty.
  Instant next() const {
    return this->order.empty() ? kNever : this->order.begin()->first;
  }

 private:
  std::set<std::pair<Instant, Key>> order;
  std::unordered_map<Key, Instant> due_of;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_DEADLINE_SET_H_
