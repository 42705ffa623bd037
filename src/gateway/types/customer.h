#ifndef GATEWAY_TYPES_CUSTOMER_H_
#define GATEWAY_TYPES_CUSTOMER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"

namespace acacialug::gateway {

// The SHA-256 of a customer's key. The key itself is not stored.
struct KeyDigest {
  std::array<std::uint64_t, 4> words{};

  friend auto operator<=>(const KeyDigest&, const KeyDigest&) = default;
};

// The unit of a customer's limit.
enum class LimitUnit { kRequests, kTokens };
inline constexpr EnumNames<LimitUnit, 2> kLimitUnitNames = {
    {{LimitUnit::kRequests, "requests"}, {LimitUnit::kTokens, "tokens"}}};

// The request rate that a customer may use at all processes together.
struct CustomerLimit {
  LimitUnit unit = LimitUnit::kRequests;
  double per_second = 0;  // zero: no limit
  double burst = 0;
  // Tokens that a request without a stated size counts as.
  std::uint64_t unsized_tokens = 1;

  friend bool operator==(const CustomerLimit&, const CustomerLimit&) = default;
};

struct Customer {
  CustomerName name;
  std::vector<KeyDigest> keys;
  // Goes before the route's, which decides among customers that are alike.
  std::optional<std::uint32_t> priority;
  CustomerLimit limit;
};

}  // namespace acacialug::gateway

template <>
struct std::hash<acacialug::gateway::KeyDigest> {
  std::size_t operator()(
      const acacialug::gateway::KeyDigest& digest) const noexcept {
    return digest.words[0];
  }
};

#endif  // GATEWAY_TYPES_CUSTOMER_H_
