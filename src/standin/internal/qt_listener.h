#ifndef STANDIN_INTERNAL_QT_LISTENER_H_
#define STANDIN_INTERNAL_QT_LISTENER_H_

#include <QHttpServer>
#include <functional>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"
#include "standin/internal/reply.h"

namespace acacialug::standin {

// Qt's HTTP server with asynchronous answers. It has no limits on what it
// reads, and is for tests only. Lives on one thread with a Qt event loop.
class QtListener {
 public:
  using Handler = std::function<void(http::Request request, Reply reply)>;

  explicit QtListener(Handler request_handler);

  // Errors: kAddressInUse.
  Status Start(const http::Address& listen);

  // Precondition: Start succeeded.
  const http::Address& address() const { return this->listening; }

 private:
  Handler handler;
  http::Address listening;
  QHttpServer server;
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_QT_LISTENER_H_
