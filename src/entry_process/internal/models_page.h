#ifndef ENTRY_PROCESS_INTERNAL_MODELS_PAGE_H_
#define ENTRY_PROCESS_INTERNAL_MODELS_PAGE_H_

#include <string>

#include "framework/global/types/result.h"
#include "manifest/types/manifest.h"

namespace acacialug::entry_process {

// The body of /v1/models: every model of the manifest. Thread safe.
std::string RenderModels(const manifest::Manifest& manifest);

// The body of /v1/models/MODEL. Errors: kUnknownModel. Thread safe.
Result<std::string> RenderModel(const manifest::Manifest& manifest,
                                const std::string& model);

}  // namespace acacialug::entry_process

#endif  // ENTRY_PROCESS_INTERNAL_MODELS_PAGE_H_
