#ifndef LOAD_INTERNAL_EXCHANGE_CONTEXT_H_
#define LOAD_INTERNAL_EXCHANGE_CONTEXT_H_

#include <vector>

#include "framework/http/http_client.h"
#include "load/accounting.h"
#include "load/entry_rotation.h"
#include "load/execution_check.h"
#include "load/types/load_plan.h"
#include "load/types/violation.h"

namespace acacialug::load {

// What all exchanges of a run share; outlives them. Not thread safe.
struct ExchangeContext {
  const LoadPlan& plan;
  http::Client& client;
  Accounting& accounting;
  EntryRotation entries;
  EntryRotation direct_prefill;
  EntryRotation direct_decode;
  EntryRotation direct_plain;
  std::vector<Violation> violations;
  std::vector<CallRecord> calls;
};

}  // namespace acacialug::load

#endif  // LOAD_INTERNAL_EXCHANGE_CONTEXT_H_
