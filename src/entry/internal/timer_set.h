#ifndef ENTRY_INTERNAL_TIMER_SET_H_
#define ENTRY_INTERNAL_TIMER_SET_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "framework/global/types/instant.h"

namespace acacialug::entry {

// One timer for each key. Every operation is O(log n). Not thread safe.
template <typename Key>
class TimerSet {
 public:
  // Arms the key's timer for this instant; kNever disarms it.
  void Arm(const Key& key, Instant at) {
    const auto found = this->armed.find(key);
    if (found != this->armed.end()) {
      if (found->second == at) {
        return;
      }
      this->order.erase({found->second, key});
      this->armed.erase(found);
    }
    if (at != kNever) {
      this->order.emplace(at, key);
      this->armed.emplace(key, at);
    }
  }

  void Disarm(const Key& key) { this->Arm(key, kNever); }

  // Returns when the key's timer is due; kNever when it is not armed.
  Instant At(const Key& key) const {
    const auto found = this->armed.find(key);
    return found == this->armed.end() ? kNever : found->second;
  }

  // Removes and returns one key whose timer is due.
  std::optional<Key> PopDue(Instant now) {
    if (this->order.empty() || this->order.begin()->first > now) {
      return std::nullopt;
    }
    const Key key = this->order.begin()->second;
    this->order.erase(this->order.begin());
    this->armed.erase(key);
    return key;
  }

  Instant Next() const {
    return this->order.empty() ? kNever : this->order.begin()->first;
  }

 private:
  std::set<std::pair<Instant, Key>> order;
  std::unordered_map<Key, Instant> armed;
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_TIMER_SET_H_
