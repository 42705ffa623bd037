#ifndef GATEWAY_TYPES_ENDPOINT_DIALECT_H_
#define GATEWAY_TYPES_ENDPOINT_DIALECT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "framework/global/types/enum_names.h"
#include "gateway/types/endpoint_advice.h"
#include "gateway/types/endpoint_record.h"
#include "gateway/types/work_request.h"

namespace acacialug::gateway {

// The part of a request that an endpoint is to run.
enum class WorkStep {
  kWhole,    // run all of it
  kPrefill,  // compute its prompt and keep the result for another endpoint
  kDecode,   // fetch the computed prompt and run it
};
inline constexpr EnumNames<WorkStep, 3> kWorkStepNames = {
    {{WorkStep::kWhole, "whole"},
     {WorkStep::kPrefill, "prefill"},
     {WorkStep::kDecode, "decode"}}};

struct WorkOrder {
  WorkStep step = WorkStep::kWhole;
  Duration time_left{};     // the endpoint stops the work when it has passed
  std::string export_name;  // kDecode: as the prefill reported it
  http::Address export_from;
  std::string reservation;  // of memory at the endpoint; may be empty
  std::optional<std::uint64_t> resume_after;
  // By which the endpoint orders its requests, 0 first; empty: all are alike.
  std::optional<std::uint32_t> priority;
};

// What the head of an answer says about the request.
enum class AnswerNature {
  kForeign,    // an answer to another request
  kNotRun,     // it did not run at the endpoint and will not
  kMisplaced,  // as kNotRun: another endpoint, or one with another role
  kSuccess,    // it ran; the body follows
  kFailure,    // the endpoint reports that it ran and failed, or is invalid
  kUnproven,   // the answer is not from an endpoint; it may have run
};
inline constexpr EnumNames<AnswerNature, 6> kAnswerNatureNames = {
    {{AnswerNature::kForeign, "foreign"},
     {AnswerNature::kNotRun, "not_run"},
     {AnswerNature::kMisplaced, "misplaced"},
     {AnswerNature::kSuccess, "success"},
     {AnswerNature::kFailure, "failure"},
     {AnswerNature::kUnproven, "unproven"}}};

struct PrefillExport {
  std::string name;  // of the computed prompt at the endpoint that holds it
  // False: another part of the answer is malformed. The export may only be
  // released, since its content may be wrong too.
  bool trusted = true;
};

// What an endpoint's report says about one request.
struct RunReport {
  bool lists_run = false;  // the request runs there
  // Of the process that reports, as EndpointRecord::started_at_ms.
  std::int64_t started_at_ms = 0;
};

// Reads callers' requests, and reads and writes endpoints' messages, in their
// wire format. Each hook is a pure function and thread safe.
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
  // Whether an answer is to a caller's request, so that it is none to a message
  // of the gateway's own. The hook is empty if no answer tells.
  std::function<bool(const http::Headers& headers)> answers_request;
  // Advice that is malformed or contradicts itself is left out. The hook is
  // empty if endpoints give none.
  std::function<EndpointAdvice(int status, const http::Headers& headers)>
      read_advice;
  // Returns empty if the body names no export.
  std::function<std::optional<PrefillExport>(std::string_view body)>
      read_export;
  // Requests a reservation of memory and a slot at a decode endpoint. The hook
  // is empty if endpoints have no reservations; decode memory is then allocated
  // by the known load alone.
  std::function<http::Request(const EndpointRecord& endpoint,
                              std::uint64_t kv_tokens,
                              Duration lifetime)>
      write_reserve;
  // Returns the reservation's name, or empty if the endpoint refused or the
  // answer is malformed.
  std::function<std::optional<std::string>(int status, std::string_view body)>
      read_reservation;
  std::function<http::Request(std::string_view reservation)> write_unreserve;
  // Orders an endpoint to change its role, unless the number of orders that it
  // has accepted differs from `accepted`: an order that is carried out seconds
  // late must not undo a newer one.
  std::function<http::Request(const EndpointRecord& endpoint,
                              EndpointRole role,
                              std::string_view holder,
                              std::uint64_t fencing_token,
                              std::uint64_t accepted)>
      write_role_order;
  // Queries the number of orders that an endpoint has accepted.
  std::function<http::Request(const EndpointRecord& endpoint)> write_report;
  // Reads the answer to it. Returns empty if the answer is malformed.
  std::function<std::optional<std::uint64_t>(std::string_view body)>
      read_accepted_orders;
  // Reads the answer to it as far as it concerns the request with this id.
  // Returns empty if the answer is no report. The hook is empty if endpoints
  // don't tell what they run.
  std::function<std::optional<RunReport>(std::string_view body,
                                         std::string_view request)>
      read_run_report;
  // Releases a computed prompt that no endpoint will fetch.
  std::function<http::Request(std::string_view export_name)> write_release;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_TYPES_ENDPOINT_DIALECT_H_
