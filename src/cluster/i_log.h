#ifndef CLUSTER_I_LOG_H_
#define CLUSTER_I_LOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"

namespace acacialug::cluster {

// The platform's append-only log: named streams of records with offsets,
// limited retention, outages. Lives on one thread; hooks run there, never
// from inside the call.
class ILog {
 public:
  struct Record {
    LogOffset offset;
    std::string payload;
  };
  struct Read {
    LogOffset first_kept;  // the oldest offset still stored
    LogOffset next;        // the offset of the next record
    std::vector<Record> records;
  };

  virtual ~ILog() = default;

  // Appends one record. Errors: kPlatformUnavailable (provably not appended),
  // kAppendUnresolved (may have taken effect: read the stream to know).
  virtual void Append(const std::string& stream,
                      std::string payload,
                      std::function<void(Result<LogOffset>)> on_done) = 0;

  // Reads at most `limit` records from an offset on. Without any record yet,
  // the log may delay its answer for up to `wait`. Errors:
  // kPlatformUnavailable, kPlatformBadAnswer. An offset older than first_kept
  // is no error: first_kept shows it.
  virtual void ReadFrom(const std::string& stream,
                        LogOffset from,
                        std::size_t limit,
                        Duration wait,
                        std::function<void(Result<Read>)> on_done) = 0;
};

}  // namespace acacialug::cluster

#endif  // CLUSTER_I_LOG_H_
