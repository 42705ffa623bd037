#include "entry_process/internal/caller_headers.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace acacialug::entry_process {
namespace {

constexpr std::size_t kLongestName = 128;
constexpr std::size_t kLongestKey = 256;
constexpr std::size_t kLongestTicket = 1024;

bool SameName(std::string_view left, std::string_view right) {
  const auto lower = [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                          : letter;
  };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [&lower](char a, char b) { return lower(a) == lower(b); });
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    return character >= 0x20 && character < 0x7f;
  });
}

Error Invalid(std::string_view name, std::string_view expected) {
  return {ResultCode::kInvalidHeader,
          std::string(name) + ": " + std::string(expected)};
}

// The header's value, empty if it is absent. A header given twice is refused:
// another reader might take the other of the two values.
Result<std::string> ReadText(const http::Headers& headers,
                             std::string_view name,
                             std::size_t longest) {
  const http::Header* found = nullptr;
  for (const http::Header& header : headers) {
    if (!SameName(header.name, name)) {
      continue;
    }
    if (found != nullptr) {
      return Invalid(name, "given twice");
    }
    found = &header;
  }
  if (found == nullptr) {
    return std::string();
  }
  if (found->value.empty() || found->value.size() > longest ||
      !IsPrintable(found->value)) {
    return Invalid(name, "expected 1 to " + std::to_string(longest) +
                             " printable ASCII characters");
  }
  return found->value;
}

Result<Duration> ReadDeadline(const http::Headers& headers) {
  const Result<std::string> text =
      ReadText(headers, kDeadlineHeader, kLongestName);
  if (!text.ok()) {
    return text.error();
  }
  if (text->empty()) {
    return Duration{};
  }
  const char* const end = text->data() + text->size();
  std::int64_t milliseconds = 0;
  const auto [stop, code] = std::from_chars(text->data(), end, milliseconds);
  constexpr std::int64_t kLongest =
      std::chrono::duration_cast<std::chrono::milliseconds>(kLongestDeadline)
          .count();
  if (code != std::errc() || stop != end || milliseconds < 1 ||
      milliseconds > kLongest) {
    return Invalid(kDeadlineHeader, "expected whole milliseconds from 1 to " +
                                        std::to_string(kLongest));
  }
  return Duration(std::chrono::milliseconds(milliseconds));
}

}  // namespace

Result<CallerHeaders> ParseCallerHeaders(const http::Headers& headers) {
  CallerHeaders parsed;
  struct TextField {
    const char* name;
    std::size_t longest;
    std::string* value;
  };
  for (const TextField& field :
       {TextField{kRequestIdHeader, kLongestKey, &parsed.client_request_id},
        TextField{kCallerHeader, kLongestName, &parsed.caller.text},
        TextField{kLatencyClassHeader, kLongestName, &parsed.latency_class},
        TextField{kIdempotencyKeyHeader, kLongestKey, &parsed.idempotency_key},
        TextField{kTicketHeader, kLongestTicket, &parsed.ticket}}) {
    Result<std::string> text = ReadText(headers, field.name, field.longest);
    if (!text.ok()) {
      return text.error();
    }
    *field.value = std::move(text.value());
  }
  const Result<Duration> deadline = ReadDeadline(headers);
  if (!deadline.ok()) {
    return deadline.error();
  }
  parsed.deadline = deadline.value();
  return parsed;
}

}  // namespace acacialug::entry_process
