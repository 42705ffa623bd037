#include "protocol/message_codec.h"

#include <cstring>
#include <limits>
#include <random>

#include "framework/testing/story.h"

namespace acacialug::protocol {
namespace {

using testing::ForEach;
using testing::It;
using testing::Section;

const AttemptId kAttempt{.request = {.high = 1, .low = 2},
                         .attempt = AttemptNumber(3),
                         .entry = Incarnation(4)};
const EndpointLoad kLoad{.free_kv_tokens = 5,
                         .running = 6,
                         .work_ahead = 7ms,
                         .prefill_tokens_per_second = 8.5,
                         .leaving = true};
const GenerationRequest kGeneration{.api = GenerationApi::kChat,
                                    .model = ModelName("review-1"),
                                    .body = R"({"model":"review-1"})",
                                    .max_tokens = 9,
                                    .priority = -1,
                                    .resumed_text = " w0001"};
const KvHandle kKv{.prefill_endpoint = EndpointId("p1"),
                   .transfer_params = R"({"remote_port":1})",
                   .tokens = 10,
                   .bytes = 11};
const Once kOnce{.kind = OnceKind::kClaim,
                 .key_high = 12,
                 .key_low = 13,
                 .fingerprint = 14,
                 .home = Incarnation(15),
                 .claim = LogOffset(16)};

std::vector<EntryToAgent> EntryMessages() {
  return {Hello{.entry = EntryId("entry-1"),
                .incarnation = Incarnation(1),
                .domain = FailureDomain("hall-a"),
                .manifest = LogOffset(2)},
          Renew{.incarnation = Incarnation(1), .manifest = LogOffset(2)},
          Reserve{.attempt = kAttempt, .kv_tokens = 1, .start_within = -5ms},
          StartPrefill{.attempt = kAttempt,
                       .generation = kGeneration,
                       .prefix = {1, 2, 3},
                       .prompt_tokens = 4,
                       .finish_within = 5ms},
          StartDecode{.attempt = kAttempt,
                      .generation = kGeneration,
                      .kv = kKv,
                      .kv_tokens = 1,
                      .window_chunks = 2},
          Acknowledge{.attempt = kAttempt, .through = SequenceNumber(5)},
          StartCall{.attempt = kAttempt,
                    .request = {.method = "POST",
                                .target = "/lookup?q=1",
                                .headers = {{"a", "b"}, {"c", ""}},
                                .body = std::string("\0x", 2)},
                    .once = kOnce},
          LookUp{.attempt = kAttempt, .once = kOnce},
          Cancel{.attempt = kAttempt}};
}

std::vector<AgentToEntry> AgentMessages() {
  return {Welcome{.endpoint = EndpointId("d1"),
                  .role = EndpointRole::kDecode,
                  .lease = 3s,
                  .load = kLoad},
          Renewed{.manifest = LogOffset(1), .load = kLoad},
          Reserved{.attempt = kAttempt, .available_in = 1ms},
          Refused{.attempt = kAttempt,
                  .phase = Phase::kPrefill,
                  .code = ResultCode::kNoDecodeMemory},
          Prefilled{.attempt = kAttempt, .kv = kKv, .lifetime = 800ms},
          Chunk{.attempt = kAttempt, .tokens = 1, .text = " w0001"},
          Ended{.attempt = kAttempt, .reason = FinishReason::kLength},
          Failed{.attempt = kAttempt, .outcome = Outcome::kNotRun},
          CallAnswered{.attempt = kAttempt,
                       .answer = {.status = 200, .headers = {{"a", "b"}}},
                       .replayed = true},
          Leaving{.grace = 60s}};
}

// Decodes with either codec; the payload's origin does not matter to it.
void DecodeBoth(std::string_view payload) {
  (void)DecodeEntryToAgent(payload);
  (void)DecodeAgentToEntry(payload);
}

// Every alternative decodes unchanged, and fails when cut at any byte.
template <typename Message>
void CheckEach(const std::vector<Message>& messages,
               Result<Message> (*decode)(std::string_view)) {
  CPPUNIT_ASSERT_EQUAL(std::variant_size_v<Message>, messages.size());
  for (std::size_t alternative = 0; alternative < messages.size();
       ++alternative) {
    const std::string payload = Encode(messages[alternative]);
    const auto decoded = decode(payload);
    CPPUNIT_ASSERT(decoded.ok());
    CPPUNIT_ASSERT_EQUAL(alternative, decoded->index());
    CPPUNIT_ASSERT(Encode(*decoded) == payload);
    for (std::size_t size = 0; size < payload.size(); ++size) {
      const auto cut = decode(std::string_view(payload).substr(0, size));
      CPPUNIT_ASSERT(!cut.ok());
      CPPUNIT_ASSERT(cut.error().result_code() == ResultCode::kBadFrame);
    }
  }
}

template <typename Message>
std::string Patched(const Message& message,
                    std::size_t position,
                    std::string_view bytes) {
  std::string payload = Encode(message);
  CPPUNIT_ASSERT(position + bytes.size() <= payload.size());
  payload.replace(position, bytes.size(), bytes);
  return payload;
}

// Payloads begin with byte order (1 byte) and alternative (4); an attempt id
// takes 32 bytes.
constexpr std::size_t kAlternativeAt = 1;
constexpr std::size_t kFirstFieldAt = 5;
constexpr std::size_t kAfterAttempt = kFirstFieldAt + 32;
const std::string kGiant(8, '\x7f');

struct BadPayload {
  std::string name;
  std::string payload;
};

std::string NotFinite() {
  EndpointLoad load = kLoad;
  load.prefill_tokens_per_second = std::numeric_limits<double>::infinity();
  return Encode(AgentToEntry(Renewed{.load = load}));
}

std::vector<BadPayload> BadPayloads() {
  const EntryToAgent hello = EntryMessages()[0];
  const EntryToAgent prefill = StartPrefill{.prefix = {1}};
  const std::size_t prefix_at = Encode(prefill).size() - 3 * 8 - 8;
  const AgentToEntry refused = Refused{.attempt = kAttempt};
  const AgentToEntry renewed = Renewed{};
  const std::size_t leaving_at = Encode(renewed).size() - 1;
  return {
      {"an empty payload", ""},
      {"a byte order that is none", Patched(hello, 0, "\x02")},
      {"an alternative past the last", Patched(hello, kAlternativeAt, "\x63")},
      {"a negative alternative",
       Patched(hello, kAlternativeAt, "\xff\xff\xff\xff")},
      {"a string longer than the payload",
       Patched(hello, kFirstFieldAt, kGiant)},
      {"a vector of numbers longer than the payload",
       Patched(prefill, prefix_at, kGiant)},
      {"a vector of numbers one longer than the payload",
       Patched(prefill, prefix_at, std::string("\x04\0", 2))},
      {"an enumerator outside its table",
       Patched(refused, kAfterAttempt, "\x04")},
      {"a result code outside its table",
       Patched(refused, kAfterAttempt + 1, "\x01")},
      {"a bool that is neither", Patched(renewed, leaving_at, "\x02")},
      {"a number that is not finite", NotFinite()},
      {"a byte left over", Encode(hello) + "x"},
  };
}

const testing::Story kCodec(
    "the codec of messages",
    {It("decodes every message of an entry, but no truncated one",
        [] { CheckEach(EntryMessages(), DecodeEntryToAgent); }),
     It("decodes every message of an agent, but no truncated one",
        [] { CheckEach(AgentMessages(), DecodeAgentToEntry); }),
     It("preserves the fields",
        [] {
          const auto decoded = DecodeEntryToAgent(Encode(EntryMessages()[6]));
          const StartCall& call = std::get<StartCall>(*decoded);
          CPPUNIT_ASSERT(call.attempt == kAttempt);
          CPPUNIT_ASSERT(call.once.kind == OnceKind::kClaim);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, call.request.headers.size());
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, call.request.body.size());
        }),
     It("reads the other byte order",
        [] {
          // Renewed with offset 1: each field reversed by hand.
          std::string payload = Encode(AgentToEntry(Leaving{.grace = 1us}));
          payload[0] = '\0';
          std::reverse(payload.begin() + 1, payload.begin() + 5);
          std::reverse(payload.begin() + 5, payload.end());
          const auto decoded = DecodeAgentToEntry(payload);
          CPPUNIT_ASSERT(std::get<Leaving>(*decoded).grace == 1us);
        }),
     It("clamps a duration that would overflow an instant",
        [] {
          const auto decoded = DecodeAgentToEntry(
              Encode(AgentToEntry(Leaving{.grace = Duration::max()})));
          const Duration grace = std::get<Leaving>(*decoded).grace;
          CPPUNIT_ASSERT(grace > 24h && Instant(grace) + grace < kNever);
        }),
     Section("given bytes that are no message",
             {ForEach<BadPayload>(
                  "refuses",
                  BadPayloads(),
                  [](const BadPayload& row) { return row.name; },
                  [](const BadPayload& row) {
                    CPPUNIT_ASSERT(!DecodeEntryToAgent(row.payload));
                    CPPUNIT_ASSERT(!DecodeAgentToEntry(row.payload));
                  }),
              It("withstands random bytes and random changes", [] {
                std::mt19937 random(20261202);
                const std::vector<EntryToAgent> messages = EntryMessages();
                for (int round = 0; round < 20000; ++round) {
                  std::string payload(random() % 96, '\0');
                  for (char& byte : payload) {
                    byte = static_cast<char>(random());
                  }
                  DecodeBoth(payload);
                  payload = Encode(messages[random() % messages.size()]);
                  payload[random() % payload.size()] =
                      static_cast<char>(random());
                  DecodeBoth(payload);
                }
              })})});

// ---- datagrams ----

const Heartbeat kHeartbeat{.entry = EntryId("entry-1"),
                           .incarnation = Incarnation(1),
                           .sequence = 2,
                           .load_seen = 3,
                           .manifest = LogOffset(4),
                           .interval = 5s,
                           .sessions = {6, 7}};
const HeartbeatAnswer kPlainAnswer{.agent = Incarnation(1),
                                   .sequence = 2,
                                   .manifest = LogOffset(3),
                                   .lease = 4s,
                                   .renewed = 3};

HeartbeatAnswer WithLoad() {
  HeartbeatAnswer answer = kPlainAnswer;
  answer.has_load = true;
  answer.load = kLoad;
  return answer;
}

std::string Crowded() {
  Heartbeat crowded = kHeartbeat;
  crowded.sessions.resize(kMaxHeartbeatSessions + 1);
  return Encode(crowded);
}

struct BadDatagram {
  const char* name;
  std::string datagram;
  ResultCode code = ResultCode::kBadFrame;
};

std::vector<BadDatagram> BadDatagrams() {
  const std::string good = Encode(kHeartbeat);
  std::string version = good;
  version[0] = kHeartbeatVersion + 1;
  // A version byte, the byte order, and the entry's name with its length.
  std::string name = good;
  name.replace(2, 8, kGiant);
  return {
      {"nothing", ""},
      {"a version byte alone", good.substr(0, 1)},
      {"another version", version, ResultCode::kProtocolVersion},
      {"a frame's payload", Encode(EntryMessages()[1])},
      {"garbage", std::string(64, '\x01')},
      {"a name longer than the datagram", name},
      {"a byte left over", good + "x"},
      {"more sessions than bits", Crowded()},
      {"more than a datagram may hold",
       good + std::string(kMaxDatagramBytes, 'x'), ResultCode::kFrameTooLarge}};
}

template <typename Message>
void CheckDatagram(const Message& message,
                   Result<Message> (*decode)(std::string_view)) {
  const std::string datagram = Encode(message);
  const Result<Message> decoded = decode(datagram);
  CPPUNIT_ASSERT(decoded.ok());
  CPPUNIT_ASSERT(Encode(*decoded) == datagram);
  for (std::size_t size = 0; size < datagram.size(); ++size) {
    CPPUNIT_ASSERT(!decode(std::string_view(datagram).substr(0, size)));
  }
}

const testing::Story kDatagrams(
    "the codec of heartbeats",
    {It("decodes heartbeats and answers, but no truncated one",
        [] {
          CheckDatagram(kHeartbeat, DecodeHeartbeat);
          CheckDatagram(kPlainAnswer, DecodeHeartbeatAnswer);
          CheckDatagram(WithLoad(), DecodeHeartbeatAnswer);
        }),
     It("preserves the fields, and omits a load that is not reported",
        [] {
          const auto heartbeat = DecodeHeartbeat(Encode(kHeartbeat));
          CPPUNIT_ASSERT(heartbeat->sessions == kHeartbeat.sessions);
          CPPUNIT_ASSERT(heartbeat->interval == 5s);
          const auto answer = DecodeHeartbeatAnswer(Encode(WithLoad()));
          CPPUNIT_ASSERT_EQUAL(kLoad.running, answer->load.running);
          CPPUNIT_ASSERT(Encode(kPlainAnswer).size() + 50 <
                         Encode(WithLoad()).size());
        }),
     ForEach<BadDatagram>(
         "refuses",
         BadDatagrams(),
         [](const BadDatagram& row) { return row.name; },
         [](const BadDatagram& row) {
           const auto decoded = DecodeHeartbeat(row.datagram);
           CPPUNIT_ASSERT(!decoded.ok());
           CPPUNIT_ASSERT(decoded.error().result_code() == row.code);
         }),
     It("withstands random changes", [] {
       std::mt19937 random(20261202);
       for (int round = 0; round < 20000; ++round) {
         std::string datagram = Encode(kHeartbeat);
         datagram[random() % datagram.size()] = static_cast<char>(random());
         DecodeHeartbeat(datagram);
         datagram = Encode(WithLoad());
         datagram[random() % datagram.size()] = static_cast<char>(random());
         DecodeHeartbeatAnswer(datagram);
       }
     })});

}  // namespace
}  // namespace acacialug::protocol
