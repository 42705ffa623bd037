#ifndef FRAMEWORK_HTTP_TCP_LISTENER_H_
#define FRAMEWORK_HTTP_TCP_LISTENER_H_

#include <QTcpServer>
#include <functional>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::http {

// Accepts connections and hands on their descriptors, which then belong to
// the hook. Lives on one thread with a Qt event loop.
class TcpListener : public QTcpServer {
 public:
  using OnDescriptor = std::function<void(qintptr descriptor)>;

  explicit TcpListener(OnDescriptor on_descriptor);

  // Errors: kAddressInUse.
  Status Listen(const Address& address);

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  OnDescriptor handler;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_TCP_LISTENER_H_
