#ifndef CLUSTER_HTTP_LOG_H_
#define CLUSTER_HTTP_LOG_H_

#include <functional>
#include <string>

#include "cluster/i_log.h"
#include "framework/http/http_client.h"

namespace acacialug::cluster {

// The platform's log over HTTP:
//   POST /streams/NAME/records            body: the record; {"offset": n}
//   GET  /streams/NAME/records?from=&limit=&wait_ms=
//        {"first_kept": n, "next": n, "records": [{"offset", "payload"}]}
// with payloads in base64. One thread, that of `client`, which must outlive
// this.
class HttpLog : public ILog {
 public:
  HttpLog(http::Address log_address, http::Client& http_client);

  // Answered 503 or provably not sent: kPlatformUnavailable. Everything else
  // without an offset: kAppendUnresolved, since the log may have appended the
  // record before its answer was lost.
  void Append(const std::string& stream,
              std::string payload,
              std::function<void(Result<LogOffset>)> on_done) override;

  void ReadFrom(const std::string& stream,
                LogOffset from,
                std::size_t limit,
                Duration wait,
                std::function<void(Result<Read>)> on_done) override;

 private:
  http::Address address;
  http::Client& client;
};

}  // namespace acacialug::cluster

#endif  // CLUSTER_HTTP_LOG_H_
