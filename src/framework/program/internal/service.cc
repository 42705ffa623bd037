#include "framework/program/service.h"

#include "framework/program/program.h"

namespace acacialug::program {

int Fail(std::string_view event, const Error& error) {
  log::Error(event, {.code = error.result_code(),
                     .fields = {{"detail", error.detail}}});
  return static_cast<int>(ExitCode::kFailed);
}

int Serve(const log::LogOptions& log_options, const std::function<int()>& run) {
  const Status ready = log::Configure(log_options);
  return ready.ok() ? run() : Fail("log_failed", ready.error());
}

}  // namespace acacialug::program
