#ifndef GATEWAY_INTERNAL_QUARANTINE_H_
#define GATEWAY_INTERNAL_QUARANTINE_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "gateway/types/endpoint_record.h"
#include "gateway/types/gateway_hooks.h"
#include "gateway/types/work_request.h"
#include "retry/crash_ledger.h"

namespace acacialug::gateway {

// What endpoints may end under, of one request.
struct CrashSubjects {
  retry::RequestKey request;
  // The parts of its prompt that others may share, in order.
  std::vector<retry::RequestKey> parts;
};

// The parts' keys cover their ids only: a part is the same at each service and
// for each customer. `request` is left to the caller. Thread safe.
std::vector<retry::RequestKey> PartKeysOf(const WorkRequest& request);

// The requests, and the parts of prompts, that are sent to no endpoint since
// endpoints ended under them, here or at peers. Not thread safe.
class Quarantine {
 public:
  struct Options {
    retry::CrashLedger::Options requests;
    retry::CrashLedger::Options parts;
    // Another request or part is quarantined, so that waiting requests may have
    // to end.
    std::function<void()> on_quarantined;
  };

  // `gateway_hooks` outlives this object.
  Quarantine(Options quarantine_options, const GatewayHooks& gateway_hooks);

  // An endpoint ended, or broke off, while the request was there. `answering`:
  // it had begun the answer, so that no part of the prompt is to blame.
  void NoteEnd(const CrashSubjects& subjects,
               const EndpointRecord& endpoint,
               std::uint32_t attempt,
               bool answering);
  // An endpoint began an answer.
  void NoteBegun(const CrashSubjects& subjects, const ServiceName& service);
  // The request was served.
  void NoteServed(const CrashSubjects& subjects);

  // Zero: the request may be sent.
  Duration TimeLeft(const CrashSubjects& subjects) const;
  // Whether the request may be sent although one part of its prompt is in
  // quarantine, to find out whether the part is the cause.
  bool TryProbe(const CrashSubjects& subjects);
  // Whether this process is the one that probes; initially it is not.
  void SetProbes(bool probes_here) { this->probes = probes_here; }

  // Reports to and of peers (retry::CrashLedger).
  void Merge(const retry::CrashRecord& reported);
  std::vector<retry::CrashRecord> CollectReports(std::size_t max_count,
                                                 std::size_t round) const;
  void ResendReports();

  // The records of all that is in quarantine.
  std::vector<retry::CrashRecord> Records() const;
  std::size_t requests() const;
  std::size_t parts() const;

  void Sweep();

 private:
  Instant Now() const { return this->hooks.now(); }
  retry::CrashLedger& LedgerOf(retry::CrashSubject subject);
  void OnQuarantined(const retry::CrashLedger& ledger,
                     retry::RequestKey key,
                     const EndpointId& endpoint);
  // Stores that a quarantine began or ended.
  void Store(const retry::CrashLedger& ledger, retry::RequestKey key) const;

  const std::function<void()> on_quarantined;
  const GatewayHooks& hooks;
  retry::CrashLedger request_ledger;
  retry::CrashLedger part_ledger;
  bool probes = false;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_INTERNAL_QUARANTINE_H_
