#include "load/entry_rotation.h"

#include <utility>

namespace acacialug::load {

EntryRotation::EntryRotation(std::vector<http::Address> addresses,
                             Duration unreachable_time)
    : skip_time(unreachable_time) {
  for (http::Address& address : addresses) {
    this->entries.push_back({.address = std::move(address)});
  }
}

http::Address EntryRotation::Next(Instant now) {
  for (std::size_t tried = 0; tried < this->entries.size(); ++tried) {
    const Entry& entry = this->entries[this->next];
    this->next = (this->next + 1) % this->entries.size();
    if (entry.skipped_until <= now) {
      return entry.address;
    }
  }
  http::Address address = this->entries[this->next].address;
  this->next = (this->next + 1) % this->entries.size();
  return address;
}

void EntryRotation::OnUnreachable(const http::Address& address, Instant now) {
  for (Entry& entry : this->entries) {
    if (entry.address == address) {
      entry.skipped_until = now + this->skip_time;
    }
  }
}

}  // namespace acacialug::load
