#ifndef ONCE_WORK_KEY_H_
#define ONCE_WORK_KEY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "framework/global/random_source.h"
#include "framework/global/types/result.h"
#include "once/types/claim.h"
#include "protocol/types/generation.h"

namespace acacialug::once {

// Milliseconds since 1970 on the process's wall clock.
using WallMilliseconds = std::chrono::milliseconds;

// The work that a caller's key names: SHA-256 of caller, service and key, cut
// to 128 bits, so that the keys of two callers never collide. A UUID in
// capitals is the same UUID (RFC 9562) and names the same work. Thread safe.
WorkKey MakeWorkKey(const CallerName& caller,
                    const ServiceName& service,
                    std::string_view caller_key);

// Digest of what a call requests (method, target, body): the same key with
// another digest is an error of the caller. Thread safe.
std::uint64_t FingerprintOf(const protocol::ServiceRequest& request);

// Checks a caller's own key. It must be a UUID of version 7 (RFC 9562), which
// carries the time at which it was made: the log keeps claims for a limited
// time, and a key from before that time could otherwise run a second time.
// Errors: kInvalidHeader for another form or a time more than `skew` ahead;
// kKeyTooOld for a key older than `window`. Thread safe.
Status CheckCallerKey(std::string_view caller_key,
                      WallMilliseconds now,
                      WallMilliseconds window,
                      WallMilliseconds skew);

// A right to run one piece of work on one start of one agent. It holds its home
// by value, so it needs no log: once the agent is replaced, the outcome of the
// work stays unknown.
struct Ticket {
  WorkKey key;
  Home home;

  friend bool operator==(const Ticket&, const Ticket&) = default;
};

// Makes a new ticket. Its key consists of the time of issue and 80 random bits,
// so its age can be determined, and a changed time gives another key.
Ticket IssueTicket(const Home& home,
                   WallMilliseconds now,
                   RandomSource& random);

// Errors: kKeyTooOld for a ticket older than `window`, which its home's ledger
// may have forgotten; kTicketInvalid for a ticket more than `skew` ahead.
// Thread safe.
Status CheckTicketAge(const Ticket& ticket,
                      WallMilliseconds now,
                      WallMilliseconds window,
                      WallMilliseconds skew);

// KEY:INCARNATION:ENDPOINT, in printable characters. Thread safe.
std::string EncodeTicket(const Ticket& ticket);

// The inverse; empty for any other form. Thread safe.
std::optional<Ticket> ParseTicket(std::string_view text);

}  // namespace acacialug::once

#endif  // ONCE_WORK_KEY_H_
