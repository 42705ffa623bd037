#ifndef CONTROL_PUBLISHER_H_
#define CONTROL_PUBLISHER_H_

#include <functional>
#include <optional>
#include <string>

#include "cluster/i_log.h"
#include "configuration/configuration_history.h"
#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"

namespace acacialug::control {

struct PublisherOptions {
  std::string stream;     // the log's stream of manifests
  std::string publisher;  // the publisher, shown to operators
  // Publishes what differs from the current text. Every reader has to
  // support such records: older programs treat them as invalid and keep an
  // older manifest.
  bool as_delta = false;
  Duration outcome_timeout = 20s;  // until the outcome counts as unresolved
  Duration retry_interval = 500ms;
  // Waits for an answer: runs the event loop until `done` returns true or
  // `time` has elapsed. Returns true when done.
  std::function<bool(const std::function<bool()>& done, Duration time)> wait;
};

// Reads and publishes manifests for a shell or a pipeline. One thread.
class Publisher {
 public:
  // `log` and `random` outlive this.
  Publisher(PublisherOptions publisher_options,
            cluster::ILog& platform_log,
            RandomSource& random_source);

  // Reads the stream to its end. Errors: kPlatformUnavailable,
  // kPlatformBadAnswer; kManifestStale when the stream's start is gone and no
  // checkpoint covers it.
  Result<configuration::ConfigurationHistory> ReadHistory();

  // Publishes a text and returns the judgement that follows from the log. When
  // the answer to an append is lost, the outcome is read from the log, and the
  // record is sent again under the same publication. At most one of these
  // records can be accepted, since the second one does not name the current
  // manifest any more. Errors: those of ParseManifest (nothing was appended);
  // kManifestConflict with the winning manifest (nothing was appended if the
  // conflict was known beforehand); kPlatformUnavailable (certainly not
  // appended); kAppendUnresolved (still unknown at the timeout).
  Result<configuration::Judgement> Publish(const std::string& text,
                                           const std::string& source);

 private:
  Result<cluster::ILog::Read> ReadFrom(LogOffset from);
  Result<LogOffset> Append(const std::string& payload);
  // The text of the current manifest, which `text` replaces; empty when there
  // is none.
  Result<std::string> CheckCurrent(const std::string& text,
                                   const std::string& source);
  // Precondition: CheckCurrent accepted `text`.
  configuration::ConfigurationRecord MakeRecord(const std::string& text,
                                                const std::string& current);
  Result<configuration::Judgement> Resolve(const std::string& payload,
                                           const RequestId& publication);

  PublisherOptions options;
  cluster::ILog& log;
  RandomSource& random;
};

}  // namespace acacialug::control

#endif  // CONTROL_PUBLISHER_H_
