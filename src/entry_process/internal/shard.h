#ifndef ENTRY_PROCESS_INTERNAL_SHARD_H_
#define ENTRY_PROCESS_INTERNAL_SHARD_H_

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry/entry_core.h"
#include "entry_process/internal/agent_links.h"
#include "entry_process/internal/caller_request.h"
#include "entry_process/internal/claims_log.h"
#include "entry_process/internal/entry_measures.h"
#include "entry_process/internal/generation_answer.h"
#include "entry_process/internal/process_state.h"
#include "entry_process/internal/request_trace.h"
#include "entry_process/types/entry_process_options.h"
#include "framework/global/random_source.h"
#include "framework/http/http_server.h"
#include "framework/log/repeat_limiter.h"
#include "heartbeat/heartbeat_sender.h"

namespace acacialug::entry_process {

// One shard of an entry: a core, its own connections to agents, and the
// requests of the callers whose connections it was given. Made, used and
// destroyed on one thread with a Qt event loop; what it shares with other
// shards is the state, the measures and the limiter, which are thread safe.
class Shard {
 public:
  struct Options {
    int index = 0;
    std::uint64_t seed = 0;
    const EntryProcessOptions& process;
    ProcessState& state;
    EntryMeasures& measures;
    log::RepeatLimiter& log_limiter;
    std::function<void(LogOffset offset)> on_manifest_reported;
    // A session with an agent was opened, or has ended or been abandoned.
    std::function<void(const heartbeat::OpenSession& session,
                       std::uint16_t heartbeat_port)>
        on_session_opened;
    std::function<void(const EndpointId& endpoint)> on_session_closed;
    AgentLinks::ConnectFunction connect = net::ConnectFrameChannel;
  };

  explicit Shard(const Options& options);
  ~Shard();

  // Takes one request; the answer goes to `responder`, at once or later.
  void Handle(http::Request request, http::ResponderPtr responder);

  void SetManifest(std::shared_ptr<const manifest::Manifest> newest);
  void SetLeavingHosts(const std::set<HostId>& hosts);
  void BeginDrain();
  // Heartbeats of the process renewed sessions of this shard.
  void OnRenewed(const std::vector<heartbeat::RenewalReport>& renewed);
  void SetRenewInterval(Duration interval);

 private:
  struct IncomingRequest {
    RequestId id;
    CallerHeaders headers;
    http::Headers identity;
    http::ResponderPtr responder;
  };
  struct LiveRequest {
    http::ResponderPtr responder;
    http::Headers identity;
    std::unique_ptr<GenerationAnswer> generation;  // null for a call
    RequestTrace trace;
    bool dirty = false;  // holds texts that Flush has yet to write
  };
  struct Delivery {
    RequestId request;
    std::uint64_t index = 0;
  };

  void Take(IncomingRequest incoming, RequestedGeneration generation);
  void Take(IncomingRequest incoming, RequestedCall call);
  void Take(IncomingRequest incoming, const RequestedPage& page);
  void Refuse(const IncomingRequest& incoming,
              std::string_view path,
              const Error& error);
  LiveRequest& Begin(IncomingRequest& incoming,
                     const manifest::Service* service,
                     trace::RequestKind kind);
  std::unique_ptr<GenerationAnswer> MakeAnswer(const IncomingRequest& incoming,
                                               const ParsedGeneration& parsed);
  Result<http::Response> RenderPage(const RequestedPage& page);
  Result<http::Response> IssueTicket(const ServiceName& service);

  // Runs `input` on the core and carries out the actions that follow.
  template <typename Input>
  void Feed(Input input) {
    input(MonotonicNow());
    this->Pump();
  }
  void Pump();
  void ArmTimer();
  void OnTimer();
  void MarkDirty(const RequestId& id, LiveRequest& live);
  // Schedules EndTurn, which runs after all sockets that are readable in this
  // iteration of the event loop were read.
  void ScheduleEndTurn();
  void EndTurn();
  void FlushDirty();
  void OnGone(const RequestId& id);
  // Adds the message to its request's trace, if it is a step.
  template <typename Message>
  void NoteStep(const EndpointId& endpoint, const Message& message);

  void Do(const entry::SendToAgent& action);
  void Do(const entry::ConnectEndpoint& action);
  void Do(const entry::DropEndpoint& action);
  void Do(const entry::AnswerText& action);
  void Do(const entry::AnswerEnd& action);
  void Do(entry::AnswerCall& action);
  void Do(const entry::AnswerError& action);
  void Do(const entry::AppendClaims& action);
  void Do(const entry::ReadClaims& action);

  void OnAgentConnected(const EndpointId& endpoint);
  void OnAgentClosed(const EndpointId& endpoint, const Error& error);
  void OnAgentMessage(const EndpointId& endpoint,
                      const protocol::AgentToEntry& message);
  void NoteMessage(const EndpointId& endpoint,
                   const protocol::AgentToEntry& message);
  void NotePrefilled(const EndpointId& endpoint,
                     const protocol::Prefilled& prefilled);

  const Options options;
  ShardBoard& board;
  RandomSource random;
  entry::EntryCore core;
  AgentLinks links;
  ClaimsLog claims;
  std::shared_ptr<const manifest::Manifest> manifest;
  std::unordered_map<RequestId, LiveRequest> live_requests;
  std::vector<RequestId> dirty_requests;
  std::vector<Delivery> deliveries;  // reported by answers, not yet to the core
  QObject context;  // ends what is queued on the event loop with the shard
  QTimer timer;
  Instant armed_for = kNever;
  bool pumping = false;
  bool end_turn_scheduled = false;
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_SHARD_H_
