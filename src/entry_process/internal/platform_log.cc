#include "entry_process/platform_log.h"

#include <string>
#include <utility>

#include "cluster/http_log.h"
#include "framework/http/http_client.h"

namespace acacialug::entry_process {
namespace {

class OwningLog : public cluster::ILog {
 public:
  explicit OwningLog(const http::Address& address)
      : client({}), log(address, this->client) {}

  void Append(const std::string& stream,
              std::string payload,
              std::function<void(Result<LogOffset>)> on_done) override {
    this->log.Append(stream, std::move(payload), std::move(on_done));
  }

  void ReadFrom(const std::string& stream,
                LogOffset from,
                std::size_t limit,
                Duration wait,
                std::function<void(Result<Read>)> on_done) override {
    this->log.ReadFrom(stream, from, limit, wait, std::move(on_done));
  }

 private:
  http::Client client;
  cluster::HttpLog log;
};

}  // namespace

std::unique_ptr<cluster::ILog> MakePlatformLog(const http::Address& address) {
  return std::make_unique<OwningLog>(address);
}

}  // namespace acacialug::entry_process
