#ifndef FRAMEWORK_HTTP_INTERNAL_READ_STEP_H_
#define FRAMEWORK_HTTP_INTERNAL_READ_STEP_H_

namespace acacialug::http {

// What a reader of messages came to with the bytes it has.
enum class ReadStep { kNeedMore, kHeadDone, kDone, kFault };

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_READ_STEP_H_
