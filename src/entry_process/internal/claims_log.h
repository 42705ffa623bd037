#ifndef ENTRY_PROCESS_INTERNAL_CLAIMS_LOG_H_
#define ENTRY_PROCESS_INTERNAL_CLAIMS_LOG_H_

#include <functional>
#include <memory>

#include "cluster/i_log.h"
#include "entry/types/entry_messages.h"

namespace acacialug::entry_process {

// The stream of the platform's log that holds claims on idempotency keys.
inline constexpr char kClaimsStream[] = "claims";

// Carries a core's claims to the platform's log and returns the outcomes in the
// core's terms: an append is reported as not appended only when the log says
// so. Without a log every append is reported as not appended and every read as
// unreachable. Lives on its shard's thread; hooks run there, never from inside
// a call.
class ClaimsLog {
 public:
  struct Hooks {
    std::function<void(const entry::ClaimsAppended& appended)> on_appended;
    std::function<void(const entry::ClaimsRead& read)> on_read;
  };

  ClaimsLog(std::unique_ptr<cluster::ILog> platform_log, Hooks hooks);

  void Append(const entry::AppendClaims& append);
  void Read(const entry::ReadClaims& read);

 private:
  std::unique_ptr<cluster::ILog> log;
  const Hooks hooks;
  // Outcomes that come after this object's end are dropped.
  std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_CLAIMS_LOG_H_
