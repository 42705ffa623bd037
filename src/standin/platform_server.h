#ifndef STANDIN_PLATFORM_SERVER_H_
#define STANDIN_PLATFORM_SERVER_H_

#include <cstdint>
#include <memory>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"
#include "standin/platform_models.h"

// The platform's services on Qt's HTTP server, with their faults under
// POST /control (docs/STANDINS.md). Each lives on one thread with a running Qt
// event loop; none is thread safe.
namespace acacialug::standin {

struct LogServerOptions {
  http::Address listen;
  LogOptions log;
  std::uint64_t seed = 1;
};

class LogServer {
 public:
  explicit LogServer(const LogServerOptions& options);
  ~LogServer();

  // Listens. Errors: kAddressInUse.
  Status Start();
  // Precondition: Start succeeded.
  http::Address address() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

struct HostListServerOptions {
  http::Address listen;
  HostListOptions hosts;
  std::uint64_t seed = 1;
};

class HostListServer {
 public:
  explicit HostListServer(const HostListServerOptions& options);
  ~HostListServer();

  // Listens. Errors: kAddressInUse.
  Status Start();
  // Precondition: Start succeeded.
  http::Address address() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

struct WeightStoreServerOptions {
  http::Address listen;
  WeightStoreOptions store;
  std::uint64_t seed = 1;
};

class WeightStoreServer {
 public:
  explicit WeightStoreServer(const WeightStoreServerOptions& options);
  ~WeightStoreServer();

  // Listens. Errors: kAddressInUse.
  Status Start();
  // Precondition: Start succeeded.
  http::Address address() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace acacialug::standin

#endif  // STANDIN_PLATFORM_SERVER_H_
