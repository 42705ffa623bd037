#include "once/types/claim.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace acacialug::once {
namespace {

using Json = nlohmann::json;

std::optional<std::uint64_t> NumberOf(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

Json ToJson(const Claim& claim) {
  return {{"key", ToString(RequestId{claim.key.high, claim.key.low})},
          {"print", claim.fingerprint},
          {"id", claim.id},
          {"home", claim.home.endpoint.text},
          {"agent", claim.home.agent.value},
          {"at", claim.replaces.offset.value},
          {"at_index", claim.replaces.index}};
}

std::optional<Claim> ReadClaim(const Json& object) {
  if (!object.is_object() || !object.contains("key") ||
      !object["key"].is_string() || !object.contains("home") ||
      !object["home"].is_string()) {
    return std::nullopt;
  }
  const auto key = ParseRequestId(object["key"].get_ref<const std::string&>());
  const auto print = NumberOf(object, "print");
  const auto id = NumberOf(object, "id");
  const auto agent = NumberOf(object, "agent");
  const auto at = NumberOf(object, "at");
  const auto at_index = NumberOf(object, "at_index");
  if (!key || !print || !id || !agent || !at || !at_index) {
    return std::nullopt;
  }
  return Claim{.key = {.high = key->high, .low = key->low},
               .fingerprint = *print,
               .id = *id,
               .home = {.endpoint = EndpointId(object["home"]),
                        .agent = Incarnation(*agent)},
               .replaces = {.offset = LogOffset(*at),
                            .index = static_cast<std::uint32_t>(*at_index)}};
}

}  // namespace

std::string EncodeBatch(const ClaimBatch& batch) {
  Json claims = Json::array();
  for (const Claim& claim : batch.claims) {
    claims.push_back(ToJson(claim));
  }
  return Json{{"batch", batch.id}, {"voids", batch.voids}, {"claims", claims}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ClaimBatch> DecodeBatch(std::string_view payload) {
  const Error malformed(ResultCode::kPlatformBadAnswer,
                        "record is no batch of claims");
  const Json object = Json::parse(payload, nullptr, false);
  if (!object.is_object() || !object.contains("claims") ||
      !object["claims"].is_array()) {
    return malformed;
  }
  const auto id = NumberOf(object, "batch");
  const auto voids = NumberOf(object, "voids");
  if (!id || !voids) {
    return malformed;
  }
  ClaimBatch batch{.id = *id, .voids = *voids};
  for (const Json& item : object["claims"]) {
    std::optional<Claim> claim = ReadClaim(item);
    if (!claim) {
      return malformed;
    }
    batch.claims.push_back(*std::move(claim));
  }
  return batch;
}

}  // namespace acacialug::once
