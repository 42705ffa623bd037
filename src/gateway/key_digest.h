#ifndef GATEWAY_KEY_DIGEST_H_
#define GATEWAY_KEY_DIGEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "gateway/types/customer.h"

namespace acacialug::gateway {

// The SHA-256 (FIPS 180-4) of a key. Thread safe.
KeyDigest DigestOf(std::string_view key);

// 64 lower-case hexadecimal digits. Thread safe.
std::string ToText(const KeyDigest& digest);

// The inverse of ToText; empty for any other form. Thread safe.
std::optional<KeyDigest> ParseKeyDigest(std::string_view text);

}  // namespace acacialug::gateway

#endif  // GATEWAY_KEY_DIGEST_H_
