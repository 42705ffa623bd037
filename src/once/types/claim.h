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
// same work.
struct WorkKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const WorkKey&, const WorkKey&) = default;
};

// The position of a claim in the stream: its record, and its index in the
// batch.
struct ClaimPosition {
  LogOffset offset;
  std::uint32_t index = 0;

  friend auto operator<=>(const ClaimPosition&, const ClaimPosition&) = default;
};

// The only endpoint that may run the work, and the start of its agent: an agent
// that replaces it has no record of the work that its predecessor ran.
struct Home {
  EndpointId endpoint;
  Incarnation agent;

  friend auto operator<=>(const Home&, const Home&) = default;
};

// One intent to run a piece of work. `replaces` is zero for the first claim;
// otherwise it names the claim whose home provably did not run the work.
struct Claim {
  WorkKey key;
  std::uint64_t fingerprint = 0;  // of the request
  std::uint64_t id = 0;           // random; identifies the claim to its claimer
  Home home;
  ClaimPosition replaces;

  friend bool operator==(const Claim&, const Claim&) = default;
};

// One record of the claims stream: claims that were committed together, or (if
// `voids` is not zero) a mark that the batch of that id has no effect unless it
// is before this record.
struct ClaimBatch {
  std::uint64_t id = 0;  // random
  std::uint64_t voids = 0;
  std::vector<Claim> claims;

  friend bool operator==(const ClaimBatch&, const ClaimBatch&) = default;
};

// Both are thread safe. Errors: kPlatformBadAnswer for a payload that is not
// such a JSON object.
std::string EncodeBatch(const ClaimBatch& batch);
Result<ClaimBatch> DecodeBatch(std::string_view payload);

}  // namespace acacialug::once

template <>
struct std::hash<acacialug::once::WorkKey> {
  std::size_t operator()(const acacialug::once::WorkKey& key) const noexcept {
    return key.high ^ key.low;  // already the bits of a digest
  }
};

#endif  // ONCE_TYPES_CLAIM_H_
