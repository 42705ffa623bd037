#include "scenario/internal/checker.h"

#include <algorithm>
#include <cstdio>
#include <type_traits>
#include <variant>

namespace acacialug::scenario {
namespace {

// After a disturbance all processes are informed again within this time.
constexpr Duration kSettleTime = 4s;

std::string Named(const Request& request) {
  return "request " + std::to_string(request.number) + " at " + request.entry;
}

template <typename Message>
constexpr bool kIsNewWork = std::is_same_v<Message, protocol::Reserve> ||
                            std::is_same_v<Message, protocol::StartPrefill> ||
                            std::is_same_v<Message, protocol::StartCall>;

// A ticket is bound to the endpoint that it names: only that endpoint knows
// whether the work ran, so that a resubmission is sent there even if it leaves.
// Then the work must not start there, which OnCommand checks.
template <typename Message>
bool IsBound(const Message& message) {
  if constexpr (std::is_same_v<Message, protocol::StartCall>) {
    return message.once.kind == protocol::OnceKind::kTicket;
  } else {
    return false;
  }
}

}  // namespace

void Checker::Report(const std::string& what) {
  if (this->known.insert(what).second) {
    char time[32];
    std::snprintf(time, sizeof(time), "%.6fs: ",
                  Seconds(this->queue.now().time_since_epoch()) - 1000);
    this->found.push_back(time + what);
  }
}

// ---- answers ----

void Checker::OnText(const Request& request, std::uint64_t index) {
  if (request.state != RequestState::kOpen) {
    this->Report(Named(request) + ": text after the final answer");
  }
  if (index != request.pieces) {
    this->Report(Named(request) + ": pieces out of order");
  }
  if (!request.expected.starts_with(request.text)) {
    this->Report(Named(request) + ": text that its prompt does not give");
  }
}

void Checker::OnFinal(const Request& request) {
  if (request.state != RequestState::kOpen &&
      request.state != RequestState::kCancelled) {
    this->Report(Named(request) + ": a second final answer");
  }
}

void Checker::OnComplete(const Request& request) {
  if (request.state == RequestState::kOpen &&
      request.text != request.expected) {
    this->Report(Named(request) + ": called complete, and is not");
  }
}

void Checker::OnNotRun(const Request& request) {
  if (!request.text.empty()) {
    this->Report(Named(request) + ": called not run after text of it");
  }
}

// ---- configuration ----

void Checker::OnManifest(const std::string& process,
                         std::uint64_t start,
                         const manifest::Manifest& manifest) {
  LogOffset& newest = this->offsets[{process, start}];
  if (manifest.offset < newest) {
    this->Report(process + ": back to an older manifest");
  }
  newest = manifest.offset;
  if (manifest.offset <= this->newest_manifest) {
    return;
  }
  this->newest_manifest = manifest.offset;
  this->newest_since = this->queue.now();
  for (const manifest::Endpoint& endpoint : manifest.endpoints) {
    if (endpoint.leaving) {
      this->leaving.emplace(endpoint.id, this->queue.now());
    } else {
      this->leaving.erase(endpoint.id);
    }
  }
}

void Checker::OnTakenOut(const EndpointId& endpoint,
                         const manifest::Manifest* manifest,
                         const std::set<std::string>& out) {
  const manifest::Endpoint* record =
      manifest == nullptr ? nullptr : manifest->FindEndpoint(endpoint);
  if (record == nullptr || record->leaving ||
      this->draining.contains(endpoint)) {
    return;  // it serves no requests
  }
  const std::vector<EndpointId> members =
      manifest->PoolMembers(record->service, record->role);
  std::size_t serving = 0;
  for (const EndpointId& member : members) {
    serving += out.contains(member.text) ? 0 : 1;
  }
  if (serving <
      manifest->MinimumServing(record->service, record->role, members.size())) {
    this->Report(endpoint.text + ": its pool is below its floor by orders");
  }
}

void Checker::OnDrain(const EndpointId& endpoint) {
  this->draining.emplace(endpoint, this->queue.now());
}

void Checker::OnAgentStarted(const EndpointId& endpoint) {
  this->draining.erase(endpoint);
}

void Checker::SetDisturbed(bool is_disturbed) {
  if (this->disturbed && !is_disturbed) {
    this->undisturbed_since = this->queue.now();
  }
  this->disturbed = is_disturbed;
}

bool Checker::LeftLongAgo(const EndpointId& endpoint) const {
  const auto long_ago = [&](const std::map<EndpointId, Instant>& all) {
    const auto found = all.find(endpoint);
    return found != all.end() &&
           this->queue.now() > found->second + kLeavingBound;
  };
  return !this->disturbed &&
         this->queue.now() > this->undisturbed_since + kSettleTime &&
         (long_ago(this->leaving) || long_ago(this->draining));
}

// ---- messages and commands ----

void Checker::OnSend(const std::string& entry_name,
                     Incarnation entry,
                     const EndpointId& endpoint,
                     const protocol::EntryToAgent& message) {
  std::visit(
      [&](const auto& typed) {
        using Message = std::decay_t<decltype(typed)>;
        if constexpr (kIsNewWork<Message>) {
          if (this->LeftLongAgo(endpoint) && !IsBound(typed)) {
            this->Report(entry_name + ": new work for " + endpoint.text +
                         ", which leaves");
          }
        }
        if constexpr (std::is_same_v<Message, protocol::StartPrefill>) {
          const auto held =
              this->reservations.find({entry, typed.attempt.request});
          if (held == this->reservations.end() || held->second.empty()) {
            this->Report(entry_name +
                         ": a prefill whose result has nowhere to go");
          }
        } else if constexpr (std::is_same_v<Message, protocol::Cancel>) {
          this->reservations[{entry, typed.attempt.request}].erase(
              {endpoint, typed.attempt.attempt});
          this->given_up.insert({endpoint, typed.attempt});
        }
      },
      message);
}

void Checker::OnReply(Incarnation entry,
                      const EndpointId& endpoint,
                      const protocol::AgentToEntry& message) {
  if (const auto* reserved = std::get_if<protocol::Reserved>(&message)) {
    this->reservations[{entry, reserved->attempt.request}].insert(
        {endpoint, reserved->attempt.attempt});
  } else if (const auto* failed = std::get_if<protocol::Failed>(&message)) {
    this->reservations[{entry, failed->attempt.request}].erase(
        {endpoint, failed->attempt.attempt});
  }
}

void Checker::OnArrival(const EndpointId& endpoint,
                        const protocol::EntryToAgent& message) {
  if (this->LeftLongAgo(endpoint)) {
    return;
  }
  std::visit(
      [&](const auto& typed) {
        if constexpr (requires { typed.attempt; }) {
          this->arrived.insert({endpoint, typed.attempt});
        }
      },
      message);
}

void Checker::OnAgentMessage(const EndpointId& endpoint,
                             const protocol::AgentToEntry& message) {
  if (const auto* reserved = std::get_if<protocol::Reserved>(&message)) {
    this->granted.insert({endpoint, reserved->attempt});
  }
}

void Checker::OnCommand(const EndpointId& endpoint,
                        const engine::EngineCommand& command) {
  const auto check = [&](const AttemptId& attempt) {
    if (!this->arrived.contains({endpoint, attempt})) {
      this->Report(endpoint.text + " leaves, and began new work");
    }
  };
  if (const auto* decode = std::get_if<engine::Decode>(&command)) {
    check(decode->attempt);
    if (!this->granted.contains({endpoint, decode->attempt})) {
      this->Report(endpoint.text + ": a stream without a reservation");
    }
  } else if (const auto* prefill = std::get_if<engine::Prefill>(&command)) {
    check(prefill->attempt);
  } else if (const auto* call = std::get_if<engine::Call>(&command)) {
    check(call->attempt);
  }
}

void Checker::OnEngineEvent(const EndpointId& endpoint,
                            const engine::EngineEvent& event) {
  const auto* failed = std::get_if<engine::AttemptFailed>(&event);
  if (failed != nullptr && failed->code == ResultCode::kNoDecodeMemory) {
    this->Report(endpoint.text + ": its agent gave out memory it has not");
  }
}

// ---- periodic checks ----

void Checker::CheckHeld(const std::vector<HeldAttempt>& held) {
  std::map<std::pair<Place, bool>, Instant> still;
  for (const HeldAttempt& item : held) {
    if (item.wanted &&
        !this->given_up.contains({item.endpoint, item.attempt})) {
      continue;
    }
    const std::pair<Place, bool> key{{item.endpoint, item.attempt},
                                     item.by_agent};
    const auto before = this->unwanted_since.find(key);
    const Instant since = item.excused || before == this->unwanted_since.end()
                              ? this->queue.now()
                              : before->second;
    still[key] = since;
    const Duration bound = item.by_agent ? kHoldBound : kMemoryBound;
    if (this->queue.now() - since > bound) {
      this->Report(item.endpoint.text +
                   (item.by_agent
                        ? ": its agent keeps room that nobody waits for"
                        : ": its engine holds memory that nobody waits for"));
    }
  }
  this->unwanted_since = std::move(still);
}

void Checker::CheckConfiguration(const std::string& process,
                                 LogOffset offset,
                                 Instant since) {
  const Instant from =
      std::max({this->newest_since, this->undisturbed_since, since});
  if (!this->disturbed &&
      offset<this->newest_manifest&& this->queue.now()> from +
          kActivationBound) {
    this->Report(process + ": an accepted manifest is not in force there");
  }
}

void Checker::CheckCalls(
    const std::deque<Request>& requests,
    const std::function<std::uint64_t(const std::string&)>& executions) {
  std::map<std::string, bool> all_not_run;
  for (const Request& request : requests) {
    if (request.generation) {
      continue;
    }
    if (!request.repeatable && executions(request.marker) > 1) {
      this->Report(request.marker + " ran more than once");
    }
    const bool not_run = request.state == RequestState::kNotRun;
    const auto [entry, first] =
        all_not_run.try_emplace(request.marker, not_run);
    entry->second = entry->second && not_run;
  }
  for (const auto& [marker, not_run] : all_not_run) {
    if (not_run && executions(marker) > 0) {
      this->Report(marker + " ran, and its callers were told that it did not");
    }
  }
}

}  // namespace acacialug::scenario
