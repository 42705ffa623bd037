#ifndef LOAD_ENTRY_ROTATION_H_
#define LOAD_ENTRY_ROTATION_H_

#include <vector>

#include "framework/global/types/instant.h"
#include "framework/http/http_types.h"

namespace acacialug::load {

// Selects addresses in round-robin order, as the platform's balancer does, and
// skips an address that could not be reached for some time. Not thread safe.
class EntryRotation {
 public:
  // `unreachable_time`: how long an address is skipped. Precondition:
  // `addresses` is not empty.
  EntryRotation(std::vector<http::Address> addresses,
                Duration unreachable_time);

  // The next address that is not skipped; if all are skipped, the next in
  // order.
  http::Address Next(Instant now);

  void OnUnreachable(const http::Address& address, Instant now);

  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    http::Address address;
    Instant skipped_until;
  };

  std::vector<Entry> entries;
  Duration skip_time;
  std::size_t next = 0;
};

}  // namespace acacialug::load

#endif  // LOAD_ENTRY_ROTATION_H_
