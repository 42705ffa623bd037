#ifndef FRAMEWORK_GLOBAL_TYPES_IDENTIFIERS_H_
#define FRAMEWORK_GLOBAL_TYPES_IDENTIFIERS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace acacialug {

// A string with a meaning of its own: an EndpointId cannot be passed where a
// CallerName is expected. Ordered and hashable by its text.
template <typename Tag>
struct Name {
  std::string text;

  Name() = default;
  explicit Name(std::string name_text) : text(std::move(name_text)) {}

  bool empty() const { return this->text.empty(); }
  friend auto operator<=>(const Name&, const Name&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->text);
  }
};

// A 64-bit number with a meaning of its own.
template <typename Tag>
struct Number {
  std::uint64_t value = 0;

  constexpr Number() = default;
  constexpr explicit Number(std::uint64_t number) : value(number) {}

  friend auto operator<=>(const Number&, const Number&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->value);
  }
};

using HostId = Name<struct HostTag>;
using FailureDomain = Name<struct FailureDomainTag>;
using EndpointId = Name<struct EndpointTag>;
using EntryId = Name<struct EntryTag>;
using ServiceName = Name<struct ServiceTag>;
using ModelName = Name<struct ModelTag>;
using CallerName = Name<struct CallerTag>;
using PoolName = Name<struct PoolTag>;
// Who holds the keys that callers of the gateway show.
using CustomerName = Name<struct CustomerTag>;

// Distinguishes one start of a process from the next on the same address: a
// random number drawn at start (equality only; a greater one is not newer).
using Incarnation = Number<struct IncarnationTag>;
// The n-th try at one request; a greater number supersedes a smaller one.
using AttemptNumber = Number<struct AttemptTag>;
// The position of a record in the platform's log.
using LogOffset = Number<struct LogOffsetTag>;
// The version after that of a known configuration, so that zero stands for
// none. Versions order configurations also when the log that holds them goes
// back.
using NextVersion = Number<struct NextVersionTag>;
// The position of a chunk in one attempt's answer, from 0, without gaps.
using SequenceNumber = Number<struct SequenceTag>;

// A caller's request, unique across entries and for ever: 128 random bits.
struct RequestId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const RequestId&, const RequestId&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->high, this->low);
  }
};

// 32 lower-case hexadecimal digits. Thread safe.
std::string ToString(const RequestId& id);

// The inverse of ToString; empty for any other form. Thread safe.
std::optional<RequestId> ParseRequestId(std::string_view text);

// Names one attempt in every frame and in the engine: request, attempt
// number, and the entry's incarnation, so that what a restarted entry's
// predecessor asked for is never taken for its own.
struct AttemptId {
  RequestId request;
  AttemptNumber attempt;
  Incarnation entry;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->attempt, this->entry);
  }
};

// REQUEST-ATTEMPT-ENTRY, as the engine sees it. Thread safe.
std::string ToString(const AttemptId& id);

// The inverse of ToString; empty for any other form. Thread safe.
std::optional<AttemptId> ParseAttemptId(std::string_view text);

}  // namespace acacialug

template <typename Tag>
struct std::hash<acacialug::Name<Tag>> {
  std::size_t operator()(const acacialug::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.text);
  }
};

template <typename Tag>
struct std::hash<acacialug::Number<Tag>> {
  std::size_t operator()(const acacialug::Number<Tag>& number) const noexcept {
    return std::hash<std::uint64_t>{}(number.value);
  }
};

template <>
struct std::hash<acacialug::RequestId> {
  std::size_t operator()(const acacialug::RequestId& id) const noexcept {
    return id.high ^ id.low;  // random bits already
  }
};

template <>
struct std::hash<acacialug::AttemptId> {
  std::size_t operator()(const acacialug::AttemptId& id) const noexcept {
    return id.request.high ^ id.request.low ^
           (id.attempt.value * 0x9e3779b97f4a7c15ULL) ^ id.entry.value;
  }
};

#endif  // FRAMEWORK_GLOBAL_TYPES_IDENTIFIERS_H_
