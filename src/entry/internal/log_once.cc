#include "entry/log_once.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <variant>

namespace acacialug::entry {
namespace {

using once::WallMilliseconds;

constexpr Duration kMaxWindow = 24h;  // the time for which a ledger keeps keys
constexpr WallMilliseconds kMaxSkew = std::chrono::minutes(5);
// For short retentions, the skew is the retention divided by this number.
constexpr int kSkewDivisor = 8;

once::CoordinatorOptions ClaimOptions(const LogOnce::Options& options) {
  once::CoordinatorOptions claims = options.claims;
  claims.table.window = std::min(options.log_retention, kMaxWindow);
  return claims;
}

WallMilliseconds ToWall(Duration duration) {
  return std::chrono::duration_cast<WallMilliseconds>(duration);
}

protocol::Once BoundTo(const once::WorkKey& key,
                       std::uint64_t fingerprint,
                       Incarnation agent,
                       protocol::OnceKind kind,
                       LogOffset claim) {
  return {.kind = kind,
          .key_high = key.high,
          .key_low = key.low,
          .fingerprint = fingerprint,
          .home = agent,
          .claim = claim};
}

Result<LogOffset> AppendResult(const ClaimsAppended& appended) {
  switch (appended.outcome) {
    case AppendOutcome::kAppended:
      return appended.offset;
    case AppendOutcome::kNotAppended:
      return Error(ResultCode::kPlatformUnavailable);
    case AppendOutcome::kUnresolved:
      break;
  }
  return Error(ResultCode::kAppendUnresolved);
}

Result<cluster::ILog::Read> ReadResult(const ClaimsRead& read) {
  if (!read.reachable) {
    return Error(ResultCode::kPlatformUnavailable);
  }
  cluster::ILog::Read records{.first_kept = read.first_kept, .next = read.next};
  for (const LogRecord& record : read.records) {
    records.records.push_back(
        {.offset = record.offset, .payload = record.payload});
  }
  return records;
}

}  // namespace

LogOnce::LogOnce(Options log_options, RandomSource& random_source)
    : options(std::move(log_options)),
      claims(ClaimOptions(this->options), random_source) {}

WallMilliseconds LogOnce::ClockSkew(Duration log_retention) {
  return std::min(kMaxSkew, ToWall(log_retention) / kSkewDivisor);
}

WallMilliseconds LogOnce::KeyWindow(Duration log_retention) {
  return ToWall(std::min(log_retention, kMaxWindow)) -
         2 * ClockSkew(log_retention);
}

// Guards against a key that runs twice: if the host's clock is set back after
// the key's claim expired, the key appears young again. Time since the start
// therefore also counts by the monotonic clock, and the later of both is used.
// A wall clock that was ahead for a while and was then corrected is trusted
// again.
WallMilliseconds LogOnce::WallNow(Instant now) {
  const WallMilliseconds monotonic = ToWall(now.time_since_epoch());
  const WallMilliseconds reported = this->options.wall_clock();
  if (!this->wall_offset) {
    this->wall_offset = reported - monotonic;
  }
  return std::max(reported, *this->wall_offset + monotonic);
}

void LogOnce::Submit(const OnceSubmission& submission, Instant now) {
  if (!submission.ticket.empty()) {
    this->RunTicket(submission, now);
    return;
  }
  const Status key =
      once::CheckCallerKey(submission.idempotency_key, this->WallNow(now),
                           KeyWindow(this->options.log_retention),
                           ClockSkew(this->options.log_retention));
  if (!key.ok()) {
    this->Refuse(submission.request, key.error().result_code(), {});
    return;
  }
  this->Claim(submission, {}, now);
}

// The claim of this request is at the last known position, and its home
// provably ran nothing, so the claim may be reassigned to the home proposed
// now. If another submission reassigned it first, that submission's home is
// queried.
void LogOnce::OnRefused(const OnceSubmission& submission, Instant now) {
  if (!submission.ticket.empty()) {
    // A ticket is never reassigned: its home is part of its value.
    this->RunTicket(submission, now);
    return;
  }
  const auto found = this->pending.find(submission.request);
  this->Claim(submission,
              found == this->pending.end() ? once::ClaimPosition{}
                                           : found->second.holder,
              now);
}

void LogOnce::RunTicket(const OnceSubmission& submission, Instant now) {
  const std::optional<once::Ticket> ticket =
      once::ParseTicket(submission.ticket);
  if (!ticket) {
    this->Refuse(submission.request, ResultCode::kTicketInvalid, {});
    return;
  }
  const Status age = once::CheckTicketAge(
      *ticket, this->WallNow(now), KeyWindow(this->options.log_retention),
      ClockSkew(this->options.log_retention));
  if (!age.ok()) {
    this->Refuse(submission.request, age.error().result_code(), {});
    return;
  }
  this->verdicts.emplace_back(OnceRun{
      .request = submission.request,
      .once = BoundTo(ticket->key, submission.fingerprint, ticket->home.agent,
                      protocol::OnceKind::kTicket, LogOffset()),
      .home = ticket->home.endpoint});
}

void LogOnce::Claim(const OnceSubmission& submission,
                    const once::ClaimPosition& replaces,
                    Instant now) {
  const once::ClaimToken token(++this->last_token);
  const once::WorkKey key = once::MakeWorkKey(
      submission.caller, submission.service, submission.idempotency_key);
  this->pending[submission.request] = {.token = token,
                                       .key = key,
                                       .fingerprint = submission.fingerprint,
                                       .holder = replaces};
  this->requests.emplace(token, submission.request);
  this->claims.Request(
      token,
      {.key = key,
       .fingerprint = submission.fingerprint,
       .home = {.endpoint = submission.home, .agent = submission.home_agent},
       .replaces = replaces},
      now);
  this->Collect();
}

void LogOnce::Refuse(const RequestId& request,
                     ResultCode code,
                     Duration retry_after) {
  this->verdicts.emplace_back(OnceRefuse{.request = request,
                                         .code = code,
                                         .outcome = protocol::Outcome::kNotRun,
                                         .retry_after = retry_after});
}

void LogOnce::Withdraw(const RequestId& request, Instant) {
  const auto found = this->pending.find(request);
  if (found != this->pending.end()) {
    this->claims.Forget(found->second.token);
    this->requests.erase(found->second.token);
    this->pending.erase(found);
  }
}

void LogOnce::OnClaimsAppended(const ClaimsAppended& appended, Instant now) {
  this->claims.OnAppended(appended.ticket.value, AppendResult(appended), now);
  this->Collect();
}

void LogOnce::OnClaimsRead(const ClaimsRead& read, Instant now) {
  this->claims.OnRead(ReadResult(read), now);
  this->Collect();
}

void LogOnce::OnTimer(Instant now) {
  if (!this->started) {
    this->started = true;
    this->WallNow(now);  // sets the clock offset
    this->claims.Start(now);
  }
  this->claims.OnTimer(now);
  this->Collect();
}

Instant LogOnce::NextTimer() const {
  return this->started ? this->claims.next_timer() : Instant{};
}

std::vector<OnceVerdict> LogOnce::TakeVerdicts() {
  return std::exchange(this->verdicts, {});
}

std::vector<EntryAction> LogOnce::TakeActions() {
  return std::exchange(this->actions, {});
}

// ---- actions of the claim coordinator ----

void LogOnce::Collect() {
  for (const once::CoordinatorAction& action : this->claims.TakeActions()) {
    std::visit([this](const auto& concrete) { this->Take(concrete); }, action);
  }
}

void LogOnce::Take(const once::AppendBatch& append) {
  this->actions.emplace_back(AppendClaims{.ticket = LogTicket(append.batch),
                                          .payload = append.payload});
}

void LogOnce::Take(const once::ReadClaims& read) {
  this->actions.emplace_back(
      ReadClaims{.ticket = {}, .from = read.from, .wait = read.wait});
}

void LogOnce::Take(const once::ClaimSettled& settled) {
  const auto request = this->requests.find(settled.token);
  if (request == this->requests.end()) {
    return;  // withdrawn
  }
  const RequestId id = request->second;
  this->requests.erase(request);
  Pending& waiting = this->pending.at(id);
  const protocol::Once bound =
      BoundTo(waiting.key, waiting.fingerprint, settled.home.agent,
              protocol::OnceKind::kClaim, settled.position.offset);
  switch (settled.verdict) {
    case once::ClaimVerdict::kWon:
      waiting.holder = settled.position;
      this->verdicts.emplace_back(
          OnceRun{.request = id, .once = bound, .home = settled.home.endpoint});
      return;
    case once::ClaimVerdict::kHeld:
      waiting.holder = settled.position;
      this->verdicts.emplace_back(OnceLookUp{
          .request = id, .once = bound, .home = settled.home.endpoint});
      return;
    case once::ClaimVerdict::kReused:
      this->Refuse(id, ResultCode::kKeyReused, {});
      return;
    case once::ClaimVerdict::kUnavailable:
      this->Refuse(id, ResultCode::kLogUnavailable, this->options.retry_after);
      return;
  }
}

}  // namespace acacialug::entry
