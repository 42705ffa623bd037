#include "gateway/key_digest.h"

#include <QByteArray>
#include <QCryptographicHash>
#include <algorithm>

namespace acacialug::gateway {

KeyDigest DigestOf(std::string_view key) {
  const QByteArray hash =
      QCryptographicHash::hash({key.data(), static_cast<qsizetype>(key.size())},
                               QCryptographicHash::Sha256);
  KeyDigest digest;
  std::copy_n(hash.begin(), digest.bytes.size(), digest.bytes.begin());
  return digest;
}

std::string ToText(const KeyDigest& digest) {
  const auto bytes = QByteArray::fromRawData(
      // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): Qt's bytes
      reinterpret_cast<const char*>(digest.bytes.data()),
      static_cast<qsizetype>(digest.bytes.size()));
  return bytes.toHex().toStdString();
}

std::optional<KeyDigest> ParseKeyDigest(std::string_view text) {
  const QByteArray bytes =
      QByteArray::fromHex({text.data(), static_cast<qsizetype>(text.size())});
  KeyDigest digest;
  // Letters that are no digits are passed over.
  if (text.size() != 2 * digest.bytes.size() ||
      bytes.size() != static_cast<qsizetype>(digest.bytes.size())) {
    return std::nullopt;
  }
  std::copy_n(bytes.begin(), digest.bytes.size(), digest.bytes.begin());
  return digest;
}

}  // namespace acacialug::gateway
