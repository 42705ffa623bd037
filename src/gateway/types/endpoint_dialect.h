#ifndef GATEWAY_TYPES_ENDPOINT_DIALECT_H_
#define GATEWAY_TYPES_ENDPOINT_DIALECT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/enum_names.h"
#include "gateway/types/endpoint_record.h"
#include "gateway/types/work_request.h"

namespace acacialug::gateway {

// What an endpoint is asked to do with a request.
enum class WorkStep {
  kWhole,    // run it
  kPrefill,  // compute its prompt and keep the result for another endpoint
  kDecode,   // fetch the computed prompt and run it
};
inline constexpr EnumNames<WorkStep, 3> kWorkStepNames = {
    {{WorkStep::kWhole, "whole"},
     {WorkStep::kPrefill, "prefill"},
     {WorkStep::kDecode, "decode"}}};

struct WorkOrder {
  WorkStep step = WorkStep::kWhole;
  Duration time_left{};     // the endpoint stops work when it is over
  std::string export_name;  // kDecode: what the prefill told
  http::Address export_from;
  std::string reservation;  // of memory at the endpoint; empty: none
  std::optional<std::uint64_t> resume_after;
};

// What an answer's head says of the request.
enum class AnswerNature {
  kForeign,    // an answer to another request
  kNotRun,     // it did not run here and never will
  kMisplaced,  // as kNotRun: another endpoint, or one with another role
  kSuccess,    // it ran; the answer's body follows
  kFailure,    // it ran, or was found invalid, and failed; so says the endpoint
  kUnproven,   // no answer of an endpoint's: it may have run
};
inline constexpr EnumNames<AnswerNature, 6> kAnswerNatureNames = {
    {{AnswerNature::kForeign, "foreign"},
     {AnswerNature::kNotRun, "not_run"},
     {AnswerNature::kMisplaced, "misplaced"},
     {AnswerNature::kSuccess, "success"},
     {AnswerNature::kFailure, "failure"},
     {AnswerNature::kUnproven, "unproven"}}};

struct PrefillExport {
  std::string name;  // of the computed prompt, at the endpoint that has it
  std::uint64_t tokens = 0;
};

// How callers' requests and endpoints' messages read on the wire. Each hook is
// a pure function, thread safe.
struct EndpointDialect {
  std::function<WorkRequest(http::Request request)> read_request;
  std::function<http::Request(const WorkRequest& request,
                              const EndpointRecord& endpoint,
                              const WorkOrder& order)>
      write_work;
  std::function<AnswerNature(const WorkRequest& request,
                             WorkStep step,
                             int status,
                             const http::Headers& headers)>
      judge_answer;
  // Empty: the body is not what it should be.
  std::function<std::optional<PrefillExport>(std::string_view body)>
      read_export;
  // Asks a decode endpoint to set memory and a slot aside. Empty hooks: the
  // endpoints cannot, and decode memory is given out by what is known of it.
  std::function<http::Request(const EndpointRecord& endpoint,
                              std::uint64_t kv_tokens,
                              Duration lifetime)>
      write_reserve;
  // The reservation's name; empty: refused, or not what it should be.
  std::function<std::optional<std::string>(int status, std::string_view body)>
      read_reservation;
  std::function<http::Request(std::string_view reservation)> write_unreserve;
  // Orders an endpoint to change its role, unless it has accepted another
  // number of orders than `accepted` meanwhile: an order that is carried out
  // seconds late must not undo a newer one.
  std::function<http::Request(const EndpointRecord& endpoint,
                              EndpointRole role,
                              std::string_view holder,
                              std::uint64_t fencing_token,
                              std::uint64_t accepted)>
      write_role_order;
  // Asks an endpoint how many orders it has accepted; and its answer, empty if
  // it is not what it should be.
  std::function<http::Request(const EndpointRecord& endpoint)> write_report;
  std::function<std::optional<std::uint64_t>(std::string_view body)>
      read_accepted_orders;
  // Gives a computed prompt back that nobody will fetch.
  std::function<http::Request(std::string_view export_name)> write_release;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_ENDPOINT_DIALECT_H_
