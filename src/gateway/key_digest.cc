#include "gateway/key_digest.h"

#include <QByteArray>
#include <QCryptographicHash>
#include <cstring>

#include "framework/global/hex_text.h"

namespace acacialug::gateway {
namespace {

constexpr std::size_t kWordDigits = 16;

}  // namespace

KeyDigest DigestOf(std::string_view key) {
  const QByteArray hash =
      QCryptographicHash::hash({key.data(), static_cast<qsizetype>(key.size())},
                               QCryptographicHash::Sha256);
  KeyDigest digest;
  std::memcpy(digest.words.data(), hash.constData(), sizeof(digest.words));
  return digest;
}

std::string ToText(const KeyDigest& digest) {
  std::string text;
  for (const std::uint64_t word : digest.words) {
    text += HexText(word);
  }
  return text;
}

std::optional<KeyDigest> ParseKeyDigest(std::string_view text) {
  KeyDigest digest;
  if (text.size() != digest.words.size() * kWordDigits) {
    return std::nullopt;
  }
  for (std::uint64_t& word : digest.words) {
    const auto read = ReadHex(text.substr(0, kWordDigits));
    if (!read) {
      return std::nullopt;
    }
    word = *read;
    text.remove_prefix(kWordDigits);
  }
  return digest;
}

}  // namespace acacialug::gateway
