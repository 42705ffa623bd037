#ifndef GATEWAY_TYPES_GATEWAY_HOOKS_H_
#define GATEWAY_TYPES_GATEWAY_HOOKS_H_

#include <functional>
#include <optional>
#include <string_view>

#include "framework/http/http_client.h"
#include "framework/log/types/record.h"
#include "gateway/leader_term.h"
#include "gateway/types/configuration.h"
#include "gateway/types/relay_outcome.h"
#include "retry/types/crash_record.h"

namespace acacialug::gateway {

// What the core needs from its process. All run on the core's thread.
struct GatewayHooks {
  std::function<Instant()> now;
  // As http::Client::Send, Cancel and DropIdle.
  std::function<http::Client::ExchangeId(const http::Address& address,
                                         const http::Request& request,
                                         http::ExchangeHooks hooks)>
      send;
  std::function<void(http::Client::ExchangeId exchange)> cancel;
  std::function<void(const http::Address& address)> drop_idle;
  // The core's timer is due at this time, sooner than was told before. Call
  // OnTimer then; next_timer() tells the time of the next.
  std::function<void(Instant at)> wake_at;
  // The process stood still for up to so long; nothing was rung for it yet.
  // Read what has arrived, and then call OnTimer again.
  std::function<void(Duration up_to)> on_stall;
  // OwnLoad() changed.
  std::function<void()> on_load_changed;
  // OwnPauses() has more: peers must hear of it before they place anything.
  std::function<void()> on_pauses_changed;
  // Asks the store for a turn of orders; empty: roles are nobody's to change.
  std::function<void(std::function<void(std::optional<TermGrant>)> on_done)>
      acquire_term;
  // This process quarantined a request, or, if the record has no ends,
  // freed it: to be kept for processes that all start anew. May be empty.
  std::function<void(const retry::CrashRecord& record)> on_quarantine;
  // A line of the log.
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
