#ifndef FRAMEWORK_GLOBAL_TYPES_RESULT_CODE_H_
#define FRAMEWORK_GLOBAL_TYPES_RESULT_CODE_H_

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace acacialug {

// Every error that a program of this project reports. Numbers are stable: a
// number is never given to another meaning. docs/RESULT_CODES.md holds the
// same table for operators, and a test keeps the two alike.
enum class ResultCode : int {
  kOk = 0,

  // 1xxx: what a caller sent.
  kMalformedRequest = 1001,
  kMalformedJson = 1002,
  kUnknownModel = 1003,
  kUnknownService = 1004,
  kUnknownRoute = 1005,
  kMethodNotAllowed = 1006,
  kBodyTooLarge = 1007,
  kHeadersTooLarge = 1008,
  kTooManyConnections = 1009,
  kUnknownCaller = 1010,
  kInvalidHeader = 1011,
  kPromptTooLong = 1012,
  kInvalidParameter = 1013,
  kUnknownRequest = 1014,
  kNotAllowed = 1015,

  // 2xxx: refusals; the request provably did not run.
  kOverloaded = 2001,
  kDeadlineUnreachable = 2002,
  kCallerOverLimit = 2003,
  kNoEndpoint = 2004,
  kDraining = 2005,
  kNoDecodeMemory = 2006,
  kSessionUnknown = 2007,
  kSuperseded = 2008,
  kWrongRole = 2009,
  kNotReady = 2010,
  kLogUnavailable = 2011,
  kLinkBusy = 2012,
  kBodiesFull = 2013,
  kQuarantined = 2014,
  kVersionGone = 2015,
  kOriginUnknown = 2016,

  // 3xxx: the request ran, or may have run, and did not complete.
  kOutcomeUnknown = 3001,
  kDeadlineExceeded = 3002,
  kEndpointLost = 3003,
  kEngineFailed = 3004,
  kExportExpired = 3005,
  kSlowReader = 3006,
  kCancelled = 3007,
  kRetriesExhausted = 3008,
  kTransferStalled = 3009,

  // 4xxx: at most once.
  kKeyRequired = 4001,
  kStillRunning = 4002,
  kKeyReused = 4003,
  kKeyTooOld = 4004,
  kTicketInvalid = 4005,
  kAnswerGone = 4006,

  // 5xxx: between the project's own processes.
  kBadFrame = 5001,
  kFrameTooLarge = 5002,
  kProtocolVersion = 5003,
  kConnectionLost = 5004,
  kHeartbeatLost = 5005,
  kUnauthenticatedPeer = 5006,
  kNodeUnreachable = 5007,
  kNodeBadAnswer = 5008,
  kMalformedAnswer = 5009,

  // 6xxx: settings, manifest and configuration.
  kSettingsUnreadable = 6001,
  kSettingsSyntax = 6002,
  kSettingsUnknownKey = 6003,
  kSettingsMissingKey = 6004,
  kSettingsWrongType = 6005,
  kSettingsOutOfRange = 6006,
  kManifestInvalid = 6101,
  kManifestConflict = 6102,
  kManifestStale = 6103,

  // 7xxx: the platform and the engines.
  kPlatformUnavailable = 7001,
  kPlatformBadAnswer = 7002,
  kAppendUnresolved = 7003,
  kLogTruncated = 7004,
  kEngineUnavailable = 7101,
  kEngineBadAnswer = 7102,
  kOrderRefused = 7103,
  kOrderFenced = 7104,

  // 9xxx: faults of the program or its host.
  kInternal = 9001,
  kAddressInUse = 9002,
  kOutOfBounds = 9003,
  kCertificateInvalid = 9004,
};

// One row of the table: number, stable name, and one sentence for people.
struct ResultCodeRow {
  ResultCode code;
  std::string_view name;
  std::string_view meaning;
};

// The whole table, in order of number. Thread safe: constant.
const std::vector<ResultCodeRow>& ResultCodeTable();

// The stable name of a code, "unlisted" for a number outside the table.
// Thread safe.
std::string_view ResultCodeName(ResultCode code);

// The sentence for people. Thread safe.
std::string_view ResultCodeMeaning(ResultCode code);

// True for the 2xxx refusals: whoever got one knows that nothing ran.
constexpr bool IsNotRun(ResultCode code) {
  const int number = static_cast<int>(code);
  return number >= 2000 && number < 3000;
}

// The project's category for std::error_code. Thread safe.
const std::error_category& ResultCategory();

std::error_code make_error_code(ResultCode code);

}  // namespace acacialug

template <>
struct std::is_error_code_enum<acacialug::ResultCode> : std::true_type {};

#endif  // FRAMEWORK_GLOBAL_TYPES_RESULT_CODE_H_
