#include "standin/internal/kv_puller.h"

#include <memory>
#include <optional>
#include <utility>

#include "standin/internal/json_access.h"

namespace acacialug::standin {
namespace {

// An engine that hangs must not occupy a slot of another one forever.
constexpr Duration kResponseTimeout = 10s;

}  // namespace

KvPuller::KvPuller() : client({.silence_timeout = kResponseTimeout}) {}

void KvPuller::Pull(const PullKv& pull,
                    const std::function<void(bool found)>& on_done) {
  const std::optional<http::Address> from = http::ParseAddress(pull.kv.address);
  if (!from) {
    on_done(false);
    return;
  }
  auto status = std::make_shared<int>(0);
  this->client.Send(
      *from,
      {.method = "POST",
       .target = "/kv_pull",
       .headers = {{"Content-Type", "application/json"}},
       .body = Dump({{"remote_request_id", pull.kv.request_id},
                     {"remote_engine_id", pull.kv.engine_id},
                     {"done", pull.done}})},
      {.on_head = [status](int code, const http::Headers&) { *status = code; },
       .on_end = [status,
                  on_done](const std::string&) { on_done(*status == 200); },
       .on_error = [on_done](const Error&, bool) { on_done(false); }});
}

}  // namespace acacialug::standin
