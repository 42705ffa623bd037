#include <string>
#include <utility>

#include "protocol/message_codec.h"
#include "scale/internal/sections.h"

namespace acacialug::scale {
namespace {

const AttemptId kAttempt{{~0ULL, ~0ULL}, AttemptNumber(1), Incarnation(~0ULL)};

protocol::EndpointLoad Load() {
  return {.free_kv_tokens = 1000000,
          .total_kv_tokens = 4000000,
          .running = 40,
          .limit = 64,
          .token_interval = 30ms,
          .prefill_tokens_per_second = 20000};
}

const protocol::EntryToAgent kRenew =
    protocol::Renew{Incarnation(~0ULL), LogOffset(1000000)};
const protocol::AgentToEntry kRenewed =
    protocol::Renewed{LogOffset(1000000), Load()};
const protocol::AgentToEntry kChunk =
    protocol::Chunk{kAttempt, SequenceNumber(100), 1, " token"};

// Encodes and decodes each once; in operation two processes share this work.
double MicrosecondsOfRenewals(std::size_t count) {
  const double begin = ThreadMicroseconds();
  std::size_t good = 0;
  for (std::size_t i = 0; i < count; ++i) {
    good += protocol::DecodeEntryToAgent(protocol::Encode(kRenew)).ok() ? 1 : 0;
    good +=
        protocol::DecodeAgentToEntry(protocol::Encode(kRenewed)).ok() ? 1 : 0;
  }
  return good == 2 * count ? ThreadMicroseconds() - begin : -1;
}

double MicrosecondsOfChunks(std::size_t count) {
  const double begin = ThreadMicroseconds();
  std::size_t good = 0;
  for (std::size_t i = 0; i < count; ++i) {
    good += protocol::DecodeAgentToEntry(protocol::Encode(kChunk)).ok() ? 1 : 0;
  }
  return good == count ? ThreadMicroseconds() - begin : -1;
}

Measure SizeOf(const std::string& payload) {
  return [size = payload.size()](std::size_t count) {
    return static_cast<double>(size * count);
  };
}

}  // namespace

std::vector<Sweep> ProtocolSweeps() {
  const std::vector<std::size_t> counts = {1000, 2000, 4000, 8000};
  return {{"protocol.renew_payload", "bytes", "Renew messages", counts,
           SizeOf(protocol::Encode(kRenew)), 1},
          {"protocol.renewed_payload", "bytes", "Renewed messages", counts,
           SizeOf(protocol::Encode(kRenewed)), 1},
          {"protocol.chunk_payload", "bytes", "Chunk messages of 6 bytes",
           counts, SizeOf(protocol::Encode(kChunk)), 1},
          {"protocol.renewal_cpu", "us",
           "renewals, both messages encoded and decoded", counts,
           MicrosecondsOfRenewals},
          {"protocol.chunk_cpu", "us", "chunks encoded and decoded", counts,
           MicrosecondsOfChunks}};
}

}  // namespace acacialug::scale
