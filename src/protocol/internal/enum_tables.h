#ifndef PROTOCOL_INTERNAL_ENUM_TABLES_H_
#define PROTOCOL_INTERNAL_ENUM_TABLES_H_

#include <algorithm>

#include "framework/global/types/result_code.h"
#include "protocol/types/messages.h"

namespace acacialug::protocol {

template <typename Enum, std::size_t kSize>
constexpr bool Lists(const EnumNames<Enum, kSize>& names, Enum value) {
  return std::any_of(names.begin(), names.end(),
                     [value](const auto& row) { return row.first == value; });
}

// True for the enumerators in the table beside the enum; a number received
// from outside may be in no table. An enum of a message that lacks an
// overload here does not compile.
inline bool IsListed(GenerationApi value) {
  return Lists(kGenerationApiNames, value);
}
inline bool IsListed(FinishReason value) {
  return Lists(kFinishReasonNames, value);
}
inline bool IsListed(Outcome value) {
  return Lists(kOutcomeNames, value);
}
inline bool IsListed(EndpointRole value) {
  return Lists(kEndpointRoleNames, value);
}
inline bool IsListed(Phase value) {
  return Lists(kPhaseNames, value);
}
inline bool IsListed(OnceKind value) {
  return Lists(kOnceKindNames, value);
}
inline bool IsListed(ResultCode value) {
  const auto& table = ResultCodeTable();
  return std::any_of(table.begin(), table.end(),
                     [value](const auto& row) { return row.code == value; });
}

}  // namespace acacialug::protocol

#endif  // PROTOCOL_INTERNAL_ENUM_TABLES_H_
