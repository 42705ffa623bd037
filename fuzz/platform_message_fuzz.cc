#include <string>

#include "fuzz_support.h"
#include "platform/crash_store.h"
#include "platform/endpoint_dialect.h"
#include "platform/json_reader.h"
#include "platform/record_decoder.h"
#include "platform/version_store.h"

// For any bytes that endpoints send or other writers store, no reader throws,
// and a name that was read can be part of a message.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace acacialug;
  const std::string_view text = fuzz::Text(data, size);
  const gateway::EndpointDialect dialect = platform::MakeEndpointDialect();
  (void)dialect.read_run_report(text, "r1");
  if (const auto read = dialect.read_export(text)) {
    fuzz::Require(platform::IsPlainId(read->name));
  }
  if (const auto reservation = dialect.read_reservation(200, text)) {
    fuzz::Require(platform::IsPlainId(*reservation));
  }
  (void)dialect.read_accepted_orders(text);
  (void)platform::PeekVersion(text);
  (void)platform::DecodeConfiguration(text, LogOffset(1)).ok();
  (void)platform::DecodeEndpoint("i", text).ok();
  (void)platform::DecodeCrash(platform::CrashKey(retry::RequestKey(7)), text,
                              platform::UnixMilliseconds())
      .ok();
  (void)platform::DecodeVersions(
      platform::VersionRecordKey(origin::ServiceKey(7)), text)
      .ok();
  const std::string header(text.substr(0, text.find_first_of("\r\n")));
  for (const int status : {200, 421, 503}) {
    (void)dialect.read_advice(
        status, {{"Server-Limit", header}, {"Retry-After", header}});
  }
  return 0;
}
