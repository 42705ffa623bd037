#ifndef STANDIN_INTERNAL_REPLY_H_
#define STANDIN_INTERNAL_REPLY_H_

#include <functional>
#include <optional>

#include "framework/http/http_server.h"
#include "framework/http/http_types.h"

namespace acacialug::standin {

// Answers one request; without a response it closes the connection. Call it at
// most once. Does nothing if the caller is gone.
using Reply = std::function<void(std::optional<http::Response>)>;

inline Reply ReplyTo(http::ResponderPtr responder) {
  return [responder = std::move(responder)](
             const std::optional<http::Response>& response) {
    if (response) {
      responder->SendWhole(*response);
    } else {
      responder->Abort();
    }
  };
}

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_REPLY_H_
