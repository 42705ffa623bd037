#ifndef GATEWAY_TYPES_GATEWAY_HOOKS_H_
#define GATEWAY_TYPES_GATEWAY_HOOKS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "framework/http/http_client.h"
#include "framework/log/types/record.h"
#include "gateway/leader_term.h"
#include "gateway/types/configuration.h"
#include "gateway/types/relay_outcome.h"
#include "origin/types/stream_origin.h"
#include "origin/types/version_report.h"
#include "retry/types/crash_record.h"

namespace acacialug::gateway {

// The functions that the core needs from its process. All run on the core's
// thread.
struct GatewayHooks {
  std::function<Instant()> now;
  // As http::Client::Send, Cancel, EndSending and DropIdle.
  std::function<http::Client::ExchangeId(const http::Address& address,
                                         const http::Request& request,
                                         http::ExchangeHooks hooks,
                                         const http::SendOptions& options)>
      send;
  std::function<void(http::Client::ExchangeId exchange)> cancel;
  std::function<void(http::Client::ExchangeId exchange)> end_sending;
  std::function<void(const http::Address& address)> drop_idle;
  // The core's timer is due at `at`, which is earlier than the time passed
  // before. Call OnTimer then; next_timer() returns the time of the next call.
  std::function<void(Instant at)> wake_at;
  // The process was stalled for at most `up_to`, and no timer has fired since.
  // Read what has arrived, and then call OnTimer again.
  std::function<void(Duration up_to)> on_stall;
  // OwnLoad() changed.
  std::function<void()> on_load_changed;
  // OwnPauses() has a new entry. Peers must receive it before they place more
  // work.
  std::function<void()> on_pauses_changed;
  // Requests a leader term from the store. Empty: no process changes roles.
  std::function<void(std::function<void(std::optional<TermGrant>)> on_done)>
      acquire_term;
  // This process quarantined a request or, if the record has no ends, released
  // it from quarantine. The record is to be stored, for the case that all
  // processes restart. May be empty.
  std::function<void(const retry::CrashRecord& record)> on_quarantine;
  // A peer's catalog is of a later era of the store. May be empty.
  std::function<void(std::uint64_t era)> on_store_era;
  // Sends a message about streams' origins to a peer. May be empty.
  std::function<void(const std::string& peer,
                     const origin::OriginMessage& message)>
      send_origins;
  // Stores the versions of a service; GatewayCore::OnVersionsRecorded follows.
  // May be empty.
  std::function<void(const origin::VersionRecord& record)> record_versions;
  // Writes a log entry.
  std::function<
      void(log::Level level, std::string_view event, log::Record record)>
      log;
  // A request was refused before it was queued or placed; `customer` may be
  // null. May be empty.
  std::function<void(ResultCode code, const Customer* customer)> on_refusal;
  // A request ended.
  std::function<void(const Route& route, const RelayOutcome& outcome)> on_end;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_GATEWAY_HOOKS_H_
