#ifndef PROTOCOL_TYPES_MESSAGES_H_
#define PROTOCOL_TYPES_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "framework/global/types/instant.h"
#include "framework/global/types/result_code.h"
#include "protocol/types/generation.h"

// The messages between an entry and an agent, in the order in which a request
// uses them. Durations are sent, never instants: no two clocks are compared.
// docs/PROTOCOL.md describes the messages in prose.
namespace acacialug::protocol {

enum class EndpointRole : std::uint8_t { kPrefill, kDecode, kPlain };
inline constexpr EnumNames<EndpointRole, 3> kEndpointRoleNames = {{
    {EndpointRole::kPrefill, "prefill"},
    {EndpointRole::kDecode, "decode"},
    {EndpointRole::kPlain, "plain"},
}};

// The part of a request that a message concerns.
enum class Phase : std::uint8_t { kReserve, kPrefill, kDecode, kCall };
inline constexpr EnumNames<Phase, 4> kPhaseNames = {{
    {Phase::kReserve, "reserve"},
    {Phase::kPrefill, "prefill"},
    {Phase::kDecode, "decode"},
    {Phase::kCall, "call"},
}};

// The load that an endpoint reports in answers and heartbeats. It is a hint:
// the agent alone decides when the work arrives.
struct EndpointLoad {
  std::uint64_t free_kv_tokens = 0;
  std::uint64_t total_kv_tokens = 0;
  std::uint32_t running = 0;  // streams, prefills or calls in the engine
  std::uint32_t limit = 0;    // how many of them run at once
  std::uint32_t queued = 0;   // admitted, not yet in the engine
  Duration work_ahead{};      // time until all admitted prefills are done
  Duration next_slot_in{};    // predicted; zero when one is free
  Duration token_interval{};  // recent time between tokens of a stream
  double prefill_tokens_per_second = 0;
  bool leaving = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->free_kv_tokens, this->total_kv_tokens, this->running,
            this->limit, this->queued, this->work_ahead, this->next_slot_in,
            this->token_interval, this->prefill_tokens_per_second,
            this->leaving);
  }
};

// ---- entry to agent ----

// Opens a session: everything that this entry's requests hold at the agent
// belongs to the session and ends with it.
struct Hello {
  EntryId entry;
  Incarnation incarnation;
  FailureDomain domain;
  LogOffset manifest;
  EntryId process;                  // whose heartbeats renew this session
  Incarnation process_incarnation;  // of that process
  Duration interval{};              // between renewals, as the entry intends

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->entry, this->incarnation, this->domain, this->manifest,
            this->process, this->process_incarnation, this->interval);
  }
};

// Renews the session's lease (a session, not a request) when no heartbeat
// does.
struct Renew {
  Incarnation incarnation;
  LogOffset manifest;
  Duration interval{};  // as in Hello

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->incarnation, this->manifest, this->interval);
  }
};

// Requests memory and a transfer window from a decode endpoint, before any
// prefill.
struct Reserve {
  AttemptId attempt;
  std::uint64_t kv_tokens = 0;       // prompt and longest answer
  std::uint64_t transfer_bytes = 0;  // expected size of the KV cache
  Duration prefill_ready_in{};       // expected; the transfer starts then
  Duration start_within{};           // else the agent refuses
  std::int32_t priority = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->kv_tokens, this->transfer_bytes,
            this->prefill_ready_in, this->start_within, this->priority);
  }
};

struct StartPrefill {
  AttemptId attempt;
  GenerationRequest generation;
  PrefixChain prefix;
  std::uint64_t prompt_tokens = 0;  // estimate
  Duration finish_within{};         // else the agent refuses

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->generation, this->prefix, this->prompt_tokens,
            this->finish_within);
  }
};

// Starts the stream under a reservation. With no handle (`bytes` 0 and empty
// params) the decode engine computes the prompt itself.
struct StartDecode {
  AttemptId attempt;
  GenerationRequest generation;
  KvHandle kv;
  std::uint64_t kv_tokens = 0;
  std::uint32_t window_chunks = 0;  // chunks sent beyond the acknowledged one

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->generation, this->kv, this->kv_tokens,
            this->window_chunks);
  }
};

// The caller has taken every chunk up to and including this one.
struct Acknowledge {
  AttemptId attempt;
  SequenceNumber through;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->through);
  }
};

// How a call that may not be repeated is held to at most one run.
enum class OnceKind : std::uint8_t { kIdempotent, kTicket, kClaim };
inline constexpr EnumNames<OnceKind, 3> kOnceKindNames = {{
    {OnceKind::kIdempotent, "idempotent"},
    {OnceKind::kTicket, "ticket"},
    {OnceKind::kClaim, "claim"},
}};

struct Once {
  OnceKind kind = OnceKind::kIdempotent;
  std::uint64_t key_high = 0;  // digest of caller, service and key
  std::uint64_t key_low = 0;
  std::uint64_t fingerprint = 0;  // digest of the request
  Incarnation home;               // the agent start that alone may run it
  LogOffset claim;                // of the winning claim; kClaim only

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->key_high, this->key_low, this->fingerprint,
            this->home, this->claim);
  }
};

struct StartCall {
  AttemptId attempt;
  ServiceRequest request;
  Once once;
  Duration start_within{};
  Duration finish_within{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->request, this->once, this->start_within,
            this->finish_within);
  }
};

// Queries the outcome of a non-idempotent call. An agent that never received
// the key refuses it from then on, so that `kNotRun` stays true.
struct LookUp {
  AttemptId attempt;
  Once once;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->once);
  }
};

// Releases what the attempt holds at the agent: queue slot, reservation,
// prefill, exported KV, stream or call. Idempotent; unknown is no error.
struct Cancel {
  AttemptId attempt;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt);
  }
};

// ---- agent to entry ----

struct Welcome {
  EndpointId endpoint;
  Incarnation incarnation;
  EndpointRole role = EndpointRole::kPlain;
  FailureDomain domain;
  LogOffset manifest;
  Duration lease{};  // the session ends this long after the last renewal
  EndpointLoad load;
  std::uint32_t session = 0;         // its number in heartbeats
  std::uint16_t heartbeat_port = 0;  // UDP; 0: renewals by frames only

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->endpoint, this->incarnation, this->role, this->domain,
            this->manifest, this->lease, this->load, this->session,
            this->heartbeat_port);
  }
};

struct Renewed {
  LogOffset manifest;
  EndpointLoad load;
  Duration lease{};  // from the Renew on; zero: as before

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->manifest, this->lease, this->load);
  }
};

struct Reserved {
  AttemptId attempt;
  Duration available_in{};  // zero: held now; else promised
  EndpointLoad load;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->available_in, this->load);
  }
};

// Nothing ran, and nothing of this phase will. `code` is 2xxx.
struct Refused {
  AttemptId attempt;
  Phase phase = Phase::kReserve;
  ResultCode code = ResultCode::kOverloaded;
  Duration retry_after{};
  EndpointLoad load;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->phase, this->code, this->retry_after,
            this->load);
  }
};

struct Prefilled {
  AttemptId attempt;
  KvHandle kv;
  Usage usage;
  Duration lifetime{};  // remaining time that the engine keeps the export
  EndpointLoad load;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->kv, this->usage, this->lifetime, this->load);
  }
};

struct Chunk {
  AttemptId attempt;
  SequenceNumber sequence;
  std::uint32_t tokens = 0;
  std::string text;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->sequence, this->tokens, this->text);
  }
};

struct Ended {
  AttemptId attempt;
  SequenceNumber
      chunks;  // how many chunks the whole answer of this attempt has
  FinishReason reason = FinishReason::kStop;
  Usage usage;
  EndpointLoad load;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->chunks, this->reason, this->usage, this->load);
  }
};

// The phase failed. kNotRun here means provably not run.
struct Failed {
  AttemptId attempt;
  Phase phase = Phase::kDecode;
  ResultCode code = ResultCode::kEngineFailed;
  Outcome outcome = Outcome::kUnknown;
  EndpointLoad load;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->phase, this->code, this->outcome, this->load);
  }
};

struct CallAnswered {
  AttemptId attempt;
  ServiceAnswer answer;
  bool replayed = false;  // a stored answer, not a new run
  EndpointLoad load;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->answer, this->replayed, this->load);
  }
};

// The agent is leaving: it takes no new work, and running work continues.
struct Leaving {
  Duration grace{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->grace);
  }
};

using EntryToAgent = std::variant<Hello,
                                  Renew,
                                  Reserve,
                                  StartPrefill,
                                  StartDecode,
                                  Acknowledge,
                                  StartCall,
                                  LookUp,
                                  Cancel>;

using AgentToEntry = std::variant<Welcome,
                                  Renewed,
                                  Reserved,
                                  Refused,
                                  Prefilled,
                                  Chunk,
                                  Ended,
                                  Failed,
                                  CallAnswered,
                                  Leaving>;

}  // namespace acacialug::protocol

#endif  // PROTOCOL_TYPES_MESSAGES_H_
