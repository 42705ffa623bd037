#ifndef ENTRY_INTERNAL_ARRIVAL_RULES_H_
#define ENTRY_INTERNAL_ARRIVAL_RULES_H_

#include <memory>
#include <string>

#include "entry/internal/request_machine.h"
#include "entry/types/entry_messages.h"
#include "framework/global/types/result.h"
#include "manifest/types/manifest.h"

namespace acacialug::entry {

// What the manifest says of an arriving request, before any queue. Stateless;
// thread safe.
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

  // The first rule whose method and path prefix match decides; without one,
  // the methods that RFC 9110 calls idempotent are.
  static bool Idempotent(const manifest::Service& service,
                         const protocol::ServiceRequest& call);
};

}  // namespace acacialug::entry

#endif  // ENTRY_INTERNAL_ARRIVAL_RULES_H_
