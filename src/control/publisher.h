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
  std::string stream;     // of the log, that holds manifests
  std::string publisher;  // who asks, for people
  // Publishes what differs from the current text. Every reader has to know
  // such records: older programs take them for invalid and fall behind.
  bool as_delta = false;
  Duration patience = 20s;  // until the outcome is called unresolved
  Duration retry_interval = 500ms;
  // Lets time pass while an answer is waited for: runs the event loop until
  // `done`, or until the time is over, and says which (true: done).
  std::function<bool(const std::function<bool()>& done, Duration time)> wait;
};

// Reads and publishes manifests for a shell or a pipeline. One thread.
class Publisher {
 public:
  // `log` and `random` outlive this.
  Publisher(PublisherOptions publisher_options,
            cluster::ILog& platform_log,
            RandomSource& random_source);

  // The stream read to its end. Errors: kPlatformUnavailable,
  // kPlatformBadAnswer; kManifestStale when the stream's start is gone and no
  // checkpoint covers it.
  Result<configuration::ConfigurationHistory> ReadHistory();

  // Publishes a text, and tells what the log made of it. A lost append answer
  // is resolved by reading; the record is sent again under the same
  // publication, of which only one can be accepted, since the second no longer
  // names the current manifest. Errors: those of ParseManifest, nothing was
  // appended; kManifestConflict with what won (if it is known beforehand,
  // nothing was appended); kPlatformUnavailable (provably not appended);
  // kAppendUnresolved (still unknown when patience ended).
  Result<configuration::Judgement> Publish(const std::string& text,
                                           const std::string& source);

 private:
  Result<cluster::ILog::Read> ReadFrom(LogOffset from);
  Result<LogOffset> Append(const std::string& payload);
  // The current manifest's text, which this one replaces; empty: none is.
  Result<std::string> CheckCurrent(const std::string& text,
                                   const std::string& source);
  // Precondition: CheckCurrent found `text` sound.
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
