#ifndef LOAD_LOAD_PLAN_READER_H_
#define LOAD_LOAD_PLAN_READER_H_

#include "framework/settings/reader.h"
#include "load/types/load_plan.h"

namespace acacialug::load {

// Reads a plan from a settings text. The plan is valid only if the reader's
// Finish then reports no problem. Not thread safe.
LoadPlan ReadLoadPlan(settings::Reader& reader);

}  // namespace acacialug::load

#endif  // LOAD_LOAD_PLAN_READER_H_
