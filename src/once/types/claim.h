#ifndef ONCE_TYPES_CLAIM_H_
#define ONCE_TYPES_CLAIM_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/result.h"

namespace acacialug::once {

// Digest of caller, service and the caller's own key: equal digests mean the
// same piece of work.
struct WorkKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const WorkKey&, const WorkKey&) = default;
};

// Where a claim stands in the stream: record, and place in its batch.
struct ClaimPosition {
  LogOffset offset;
  std::uint32_t index = 0;

  friend auto operator<=>(const ClaimPosition&, const ClaimPosition&) = default;
};

// The endpoint that alone may run the work, and the start of its agent: a
// replaced agent knows nothing of what its predecessor ran.
struct Home {
  EndpointId endpoint;
  Incarnation agent;

  friend auto operator<=>(const Home&, const Home&) = default;
};

// One wish to run a piece of work. `replaces` is zero for the first claim;
// else it names the claim whose home provably did not run it.
struct Claim {
  WorkKey key;
  std::uint64_t fingerprint = 0;  // of the request
  std::uint64_t id = 0;           // random; tells the claimer its own claim
  Home home;
  ClaimPosition replaces;

  friend bool operator==(const Claim&, const Claim&) = default;
};

// One record of the claims stream: claims that were committed together, or
// (`voids` not zero) a mark that an earlier batch of that id, if it is not
// before this record, counts for nothing.
struct ClaimBatch {
  std::uint64_t id = 0;  // random
  std::uint64_t voids = 0;
  std::vector<Claim> claims;

  friend bool operator==(const ClaimBatch&, const ClaimBatch&) = default;
};

// Thread safe, both. Errors: kPlatformBadAnswer for any payload that is no
// such JSON object.
std::string EncodeBatch(const ClaimBatch& batch);
Result<ClaimBatch> DecodeBatch(std::string_view payload);

}  // namespace acacialug::once

template <>
struct std::hash<acacialug::once::WorkKey> {
  std::size_t operator()(const acacialug::once::WorkKey& key) const noexcept {
    return key.high ^ key.low;  // a digest's bits already
  }
};

#endif  // ONCE_TYPES_CLAIM_H_
