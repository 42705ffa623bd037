#include "once/work_key.h"

#include <QByteArrayView>
#include <QCryptographicHash>
#include <QUuid>
#include <charconv>
#include <cstring>

namespace acacialug::once {
namespace {

constexpr std::size_t kUuidText = 36;
constexpr int kUuidVersion = 7;
constexpr std::size_t kTimeDigits = 12;  // 48 bits, milliseconds
constexpr std::size_t kMaxTicketText = 512;
constexpr unsigned kTicketTimeShift = 16;  // 48 bits of time before it

// Each part is preceded by its length: otherwise "ab","c" and "a","bc" would be
// the same key.
class Digest {
 public:
  void Add(std::string_view part) {
    const std::uint64_t size = part.size();
    this->hash.addData(
        QByteArrayView(reinterpret_cast<const char*>(&size), sizeof(size)));
    this->hash.addData(
        QByteArrayView(part.data(), static_cast<qsizetype>(part.size())));
  }

  WorkKey Finish() const {
    const QByteArray bytes = this->hash.result();
    WorkKey key;
    std::memcpy(&key.high, bytes.constData(), sizeof(key.high));
    std::memcpy(&key.low, bytes.constData() + sizeof(key.high),
                sizeof(key.low));
    return key;
  }

 private:
  QCryptographicHash hash{QCryptographicHash::Sha256};
};

std::string InSmallLetters(std::string_view text) {
  std::string small(text);
  for (char& letter : small) {
    if (letter >= 'A' && letter <= 'Z') {
      letter = static_cast<char>(letter - 'A' + 'a');
    }
  }
  return small;
}

template <typename Integer>
std::optional<Integer> ParseWhole(std::string_view text, int base) {
  Integer value{};
  const char* const last = text.data() + text.size();
  const auto [end, code] = std::from_chars(text.data(), last, value, base);
  if (code != std::errc() || end != last) {
    return std::nullopt;
  }
  return value;
}

std::optional<WallMilliseconds> TimeOfKey(std::string_view caller_key) {
  if (caller_key.size() != kUuidText) {
    return std::nullopt;
  }
  const QUuid uuid = QUuid::fromString(QLatin1StringView(
      caller_key.data(), static_cast<qsizetype>(caller_key.size())));
  const int version = uuid.data3 >> 12U;
  if (uuid.isNull() || version != kUuidVersion) {
    return std::nullopt;
  }
  const std::string digits = std::string(caller_key.substr(0, 8)) +
                             std::string(caller_key.substr(9, 4));
  static_assert(kTimeDigits == 8 + 4);
  const auto time = ParseWhole<std::int64_t>(digits, 16);
  return time ? std::make_optional(WallMilliseconds(*time)) : std::nullopt;
}

}  // namespace

WorkKey MakeWorkKey(const CallerName& caller,
                    const ServiceName& service,
                    std::string_view caller_key) {
  Digest digest;
  digest.Add(caller.text);
  digest.Add(service.text);
  digest.Add(InSmallLetters(caller_key));
  return digest.Finish();
}

std::uint64_t FingerprintOf(const protocol::ServiceRequest& request) {
  Digest digest;
  digest.Add(request.method);
  digest.Add(request.target);
  digest.Add(request.body);
  return digest.Finish().low;
}

Status CheckCallerKey(std::string_view caller_key,
                      WallMilliseconds now,
                      WallMilliseconds window,
                      WallMilliseconds skew) {
  const std::optional<WallMilliseconds> made = TimeOfKey(caller_key);
  if (!made) {
    return Error(ResultCode::kInvalidHeader,
                 "Idempotency-Key: expected a UUID of version 7");
  }
  if (*made > now + skew) {
    return Error(ResultCode::kInvalidHeader,
                 "Idempotency-Key: its time lies ahead of this host's clock");
  }
  if (*made < now - window) {
    return Error(ResultCode::kKeyTooOld, "Idempotency-Key");
  }
  return Success{};
}

Ticket IssueTicket(const Home& home,
                   WallMilliseconds now,
                   RandomSource& random) {
  const auto time = static_cast<std::uint64_t>(now.count()) << kTicketTimeShift;
  const RequestId bits = random.NextRequestId();
  const std::uint64_t tail = bits.high & ((1ULL << kTicketTimeShift) - 1);
  return {.key = {.high = time | tail, .low = bits.low}, .home = home};
}

Status CheckTicketAge(const Ticket& ticket,
                      WallMilliseconds now,
                      WallMilliseconds window,
                      WallMilliseconds skew) {
  const WallMilliseconds issued(
      static_cast<std::int64_t>(ticket.key.high >> kTicketTimeShift));
  if (issued > now + skew) {
    return Error(ResultCode::kTicketInvalid,
                 "its time lies ahead of this host's clock");
  }
  if (issued < now - window) {
    return Error(ResultCode::kKeyTooOld, "ticket");
  }
  return Success{};
}

std::string EncodeTicket(const Ticket& ticket) {
  return ToString(RequestId{ticket.key.high, ticket.key.low}) + ":" +
         std::to_string(ticket.home.agent.value) + ":" +
         ticket.home.endpoint.text;
}

std::optional<Ticket> ParseTicket(std::string_view text) {
  const std::size_t first = text.find(':');
  const std::size_t second = first == std::string_view::npos
                                 ? std::string_view::npos
                                 : text.find(':', first + 1);
  if (second == std::string_view::npos || text.size() > kMaxTicketText) {
    return std::nullopt;
  }
  const auto key = ParseRequestId(text.substr(0, first));
  const auto agent =
      ParseWhole<std::uint64_t>(text.substr(first + 1, second - first - 1), 10);
  const std::string_view endpoint = text.substr(second + 1);
  if (!key || !agent || endpoint.empty()) {
    return std::nullopt;
  }
  return Ticket{.key = {.high = key->high, .low = key->low},
                .home = {.endpoint = EndpointId(std::string(endpoint)),
                         .agent = Incarnation(*agent)}};
}

}  // namespace acacialug::once
