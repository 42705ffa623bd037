#include "framework/global/types/result_code.h"

#include <algorithm>

namespace acacialug {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "acacialug"; }
  std::string message(int value) const override {
    return std::string(ResultCodeMeaning(static_cast<ResultCode>(value)));
  }
};

const ResultCodeRow* FindRow(ResultCode code) {
  const auto& table = ResultCodeTable();
  const auto row = std::find_if(table.begin(), table.end(),
                                [code](const ResultCodeRow& candidate) {
                                  return candidate.code == code;
                                });
  return row == table.end() ? nullptr : &*row;
}

}  // namespace

const std::vector<ResultCodeRow>& ResultCodeTable() {
  static const std::vector<ResultCodeRow> kTable = {
      {ResultCode::kOk, "ok", "no error"},
      {ResultCode::kMalformedRequest, "malformed_request",
       "the request is not valid HTTP or lacks a required part"},
      {ResultCode::kMalformedJson, "malformed_json",
       "the body is not the JSON that this route expects"},
      {ResultCode::kUnknownModel, "unknown_model",
       "no service in the manifest offers this model"},
      {ResultCode::kUnknownService, "unknown_service",
       "no plain service of this name is in the manifest"},
      {ResultCode::kUnknownRoute, "unknown_route", "no route has this path"},
      {ResultCode::kMethodNotAllowed, "method_not_allowed",
       "the route exists, but not for this method"},
      {ResultCode::kBodyTooLarge, "body_too_large",
       "the body is larger than the limit in the settings"},
      {ResultCode::kHeadersTooLarge, "headers_too_large",
       "the header section is larger than the limit in the settings"},
      {ResultCode::kTooManyConnections, "too_many_connections",
       "the limit on open connections is reached"},
      {ResultCode::kUnknownCaller, "unknown_caller",
       "the manifest names callers, and this is none of them"},
      {ResultCode::kInvalidHeader, "invalid_header",
       "a header of ours has a value outside its form"},
      {ResultCode::kPromptTooLong, "prompt_too_long",
       "prompt and answer together exceed the model's context"},
      {ResultCode::kInvalidParameter, "invalid_parameter",
       "a parameter has a value outside its range"},
      {ResultCode::kUnknownRequest, "unknown_request",
       "nothing is known of this request here, or no more"},
      {ResultCode::kNotAllowed, "not_allowed",
       "the settings do not allow this on the operations port"},
      {ResultCode::kOverloaded, "overloaded",
       "refused before running: the queue for this class is full"},
      {ResultCode::kDeadlineUnreachable, "deadline_unreachable",
       "refused before running: the latency target can no longer be met"},
      {ResultCode::kCallerOverLimit, "caller_over_limit",
       "refused before running: the caller is over its share or rate"},
      {ResultCode::kNoEndpoint, "no_endpoint",
       "refused before running: no live endpoint serves this"},
      {ResultCode::kDraining, "draining",
       "refused before running: the process is leaving"},
      {ResultCode::kNoDecodeMemory, "no_decode_memory",
       "refused before running: no decode memory is free in time"},
      {ResultCode::kSessionUnknown, "session_unknown",
       "refused before running: the session has lapsed or was never opened"},
      {ResultCode::kSuperseded, "superseded",
       "refused before running: a newer attempt or incarnation exists"},
      {ResultCode::kWrongRole, "wrong_role",
       "refused before running: the endpoint does not play this role"},
      {ResultCode::kNotReady, "not_ready",
       "refused before running: no configuration is in force yet"},
      {ResultCode::kLogUnavailable, "log_unavailable",
       "refused before running: the key could not be claimed on the platform's "
       "log"},
      {ResultCode::kLinkBusy, "link_busy",
       "refused before running: no transfer window is free in time"},
      {ResultCode::kBodiesFull, "bodies_full",
       "refused before running: the requests under way fill their memory"},
      {ResultCode::kQuarantined, "quarantined",
       "refused before running: endpoint after endpoint ended under this "
       "request"},
      {ResultCode::kVersionGone, "version_gone",
       "refused before running: no endpoint has the software version that "
       "began "
       "the stream"},
      {ResultCode::kOriginUnknown, "origin_unknown",
       "refused before running: the software version that began the stream is "
       "not known"},
      {ResultCode::kOutcomeUnknown, "outcome_unknown",
       "the work may have run; its answer is lost"},
      {ResultCode::kDeadlineExceeded, "deadline_exceeded",
       "the deadline passed while the request ran"},
      {ResultCode::kEndpointLost, "endpoint_lost",
       "the endpoint was lost while the request ran"},
      {ResultCode::kEngineFailed, "engine_failed",
       "the engine reported a failure while the request ran"},
      {ResultCode::kExportExpired, "export_expired",
       "the prefill result was evicted before its transfer"},
      {ResultCode::kSlowReader, "slow_reader",
       "the caller read too slowly and was cut off"},
      {ResultCode::kCancelled, "cancelled", "the caller went away"},
      {ResultCode::kRetriesExhausted, "retries_exhausted",
       "all attempts failed, or the retry budget is spent"},
      {ResultCode::kTransferStalled, "transfer_stalled",
       "the transfer between prefill and decode made no progress"},
      {ResultCode::kKeyRequired, "key_required",
       "this route is not idempotent and needs an Idempotency-Key"},
      {ResultCode::kStillRunning, "still_running",
       "the first submission under this key is still running"},
      {ResultCode::kKeyReused, "key_reused",
       "this key was used before with another request"},
      {ResultCode::kKeyTooOld, "key_too_old",
       "the key lies outside the stated window"},
      {ResultCode::kTicketInvalid, "ticket_invalid",
       "the ticket is malformed or bound to an endpoint that is gone"},
      {ResultCode::kAnswerGone, "answer_gone",
       "the request under this key completed, but its answer is no longer "
       "kept"},
      {ResultCode::kBadFrame, "bad_frame",
       "a frame between processes could not be decoded"},
      {ResultCode::kFrameTooLarge, "frame_too_large",
       "a frame between processes exceeds the limit"},
      {ResultCode::kProtocolVersion, "protocol_version",
       "the peer speaks another protocol version"},
      {ResultCode::kConnectionLost, "connection_lost",
       "the connection to the peer was lost"},
      {ResultCode::kHeartbeatLost, "heartbeat_lost",
       "the peer's heartbeats stopped"},
      {ResultCode::kUnauthenticatedPeer, "unauthenticated_peer",
       "the peer showed no valid certificate"},
      {ResultCode::kNodeUnreachable, "node_unreachable",
       "a process's operations port does not answer in time"},
      {ResultCode::kNodeBadAnswer, "node_bad_answer",
       "a process's operations port gave an answer that cannot be used"},
      {ResultCode::kMalformedAnswer, "malformed_answer",
       "the peer's answer is not valid HTTP"},
      {ResultCode::kSettingsUnreadable, "settings_unreadable",
       "the settings file cannot be read"},
      {ResultCode::kSettingsSyntax, "settings_syntax",
       "the settings file is not valid TOML"},
      {ResultCode::kSettingsUnknownKey, "settings_unknown_key",
       "a key is unknown"},
      {ResultCode::kSettingsMissingKey, "settings_missing_key",
       "a required key is missing"},
      {ResultCode::kSettingsWrongType, "settings_wrong_type",
       "a key has a value of the wrong type"},
      {ResultCode::kSettingsOutOfRange, "settings_out_of_range",
       "a key has a value outside its range"},
      {ResultCode::kManifestInvalid, "manifest_invalid",
       "the manifest breaks a rule of the schema"},
      {ResultCode::kManifestConflict, "manifest_conflict",
       "another manifest was accepted first"},
      {ResultCode::kManifestStale, "manifest_stale",
       "the process has not yet caught up with the newest manifest"},
      {ResultCode::kPlatformUnavailable, "platform_unavailable",
       "the platform's service does not answer"},
      {ResultCode::kPlatformBadAnswer, "platform_bad_answer",
       "the platform's service gave an answer that cannot be used"},
      {ResultCode::kAppendUnresolved, "append_unresolved",
       "it is not yet known whether an append took effect"},
      {ResultCode::kLogTruncated, "log_truncated",
       "the log no longer holds the offset asked for"},
      {ResultCode::kEngineUnavailable, "engine_unavailable",
       "the engine does not answer"},
      {ResultCode::kEngineBadAnswer, "engine_bad_answer",
       "the engine gave an answer that cannot be used"},
      {ResultCode::kOrderRefused, "order_refused",
       "the engine refused an order"},
      {ResultCode::kOrderFenced, "order_fenced",
       "an order carried an old fencing number"},
      {ResultCode::kInternal, "internal", "a fault of the program"},
      {ResultCode::kAddressInUse, "address_in_use",
       "the address cannot be listened on"},
      {ResultCode::kOutOfBounds, "out_of_bounds",
       "a bound on state was reached"},
      {ResultCode::kCertificateInvalid, "certificate_invalid",
       "a certificate or key cannot be loaded"},
  };
  return kTable;
}

std::string_view ResultCodeName(ResultCode code) {
  const ResultCodeRow* row = FindRow(code);
  return row == nullptr ? "unlisted" : row->name;
}

std::string_view ResultCodeMeaning(ResultCode code) {
  const ResultCodeRow* row = FindRow(code);
  return row == nullptr ? "a code outside the table" : row->meaning;
}

const std::error_category& ResultCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(ResultCode code) {
  return {static_cast<int>(code), ResultCategory()};
}

}  // namespace acacialug
