#ifndef ENTRY_INTERNAL_ARRIVAL_RULES_H_
#define ENTRY_INTERNAL_ARRIVAL_RULES_H_

#include <memory>
#include <string>

#include "entry/internal/request_machine.h"
#include "entry/types/entry_messages.h"
#include "framework/global/types/result.h"
#include "manifest/types/manifest.h"

namespace acacialug::entry {

// Applies the manifest to an arriving request before it is queued. Stateless
// and thread safe.
class ArrivalRules {
 public:
  // Errors: kUnknownModel, kUnknownCaller, kInvalidHeader (no such latency
  // class).
  static Result<RequestTerms> ForGeneration(
      const GenerationArrived& arrived,
      const std::shared_ptr<const manifest::Manifest>& manifest,
      Duration default_deadline,
      Instant now);

  // Errors: kUnknownService, kUnknownCaller, kInvalidHeader.
  static Result<RequestTerms> ForCall(
      const CallArrived& arrived,
      const std::shared_ptr<const manifest::Manifest>& manifest,
      Duration default_deadline,
      Instant now);

  // The first rule whose method and path prefix match decides. Without a match,
  // the methods that RFC 9110 defines as idempotent are idempotent.
  static bool Idempotent(const manifest::Service& service,
                         const protocol::ServiceRequest& call);
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_ARRIVAL_RULES_H_
