#include "load/entry_rotation.h"

#include <utility>

namespace acacialug::load {

EntryRotation::EntryRotation(std::vector<http::Address> addresses,
                             Duration rest_time)
    : rest(rest_time) {
  for (http::Address& address : addresses) {
    this->places.push_back({.address = std::move(address)});
  }
}

http::Address EntryRotation::Next(Instant now) {
  for (std::size_t tried = 0; tried < this->places.size(); ++tried) {
    const Place& place = this->places[this->turn];
    this->turn = (this->turn + 1) % this->places.size();
    if (place.rests_until <= now) {
      return place.address;
    }
  }
  http::Address address = this->places[this->turn].address;
  this->turn = (this->turn + 1) % this->places.size();
  return address;
}

void EntryRotation::OnUnreachable(const http::Address& address, Instant now) {
  for (Place& place : this->places) {
    if (place.address == address) {
      place.rests_until = now + this->rest;
    }
  }
}

}  // namespace acacialug::load
