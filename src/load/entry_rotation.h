#ifndef LOAD_ENTRY_ROTATION_H_
#define LOAD_ENTRY_ROTATION_H_

#include <vector>

#include "framework/global/types/instant.h"
#include "framework/http/http_types.h"

namespace acacialug::load {

// Takes addresses in turn, as the platform's balancer does, and leaves out for
// a while one that could not be reached. Not thread safe.
class EntryRotation {
 public:
  // Precondition: `addresses` is not empty.
  EntryRotation(std::vector<http::Address> addresses, Duration rest);

  // The next one; with all resting, the one whose turn it is.
  http::Address Next(Instant now);

  void OnUnreachable(const http::Address& address, Instant now);

  std::size_t size() const { return this->places.size(); }

 private:
  struct Place {
    http::Address address;
    Instant rests_until;
  };

  std::vector<Place> places;
  Duration rest;
  std::size_t turn = 0;
};

}  // namespace acacialug::load

#endif  // LOAD_ENTRY_ROTATION_H_
