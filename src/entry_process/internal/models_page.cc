#include "entry_process/internal/models_page.h"

#include <nlohmann/json.hpp>

namespace acacialug::entry_process {
namespace {

using Json = nlohmann::ordered_json;

std::string Dump(const Json& body) {
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// `created` has no meaning here; client libraries require a number.
Json ModelJson(const std::string& model, const std::string& service) {
  return {{"id", model},
          {"object", "model"},
          {"created", 0},
          {"owned_by", service}};
}

}  // namespace

std::string RenderModels(const manifest::Manifest& manifest) {
  Json list = Json::array();
  for (const manifest::Service& service : manifest.services) {
    for (const ModelName& model : service.models) {
      list.push_back(ModelJson(model.text, service.name.text));
    }
  }
  return Dump({{"object", "list"}, {"data", std::move(list)}});
}

Result<std::string> RenderModel(const manifest::Manifest& manifest,
                                const std::string& model) {
  const manifest::Service* service =
      manifest.FindServiceOfModel(ModelName(model));
  if (service == nullptr) {
    return Error(ResultCode::kUnknownModel, model);
  }
  return Dump(ModelJson(model, service->name.text));
}

}  // namespace acacialug::entry_process
