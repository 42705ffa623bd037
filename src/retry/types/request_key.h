#ifndef RETRY_TYPES_REQUEST_KEY_H_
#define RETRY_TYPES_REQUEST_KEY_H_

#include "framework/global/types/identifiers.h"

namespace acacialug::retry {

// A hash of a request's content: the same for all attempts, whatever their ids,
// and on every host.
using RequestKey = Number<struct RequestKeyTag>;

}  // namespace acacialug::retry

#endif  // RETRY_TYPES_REQUEST_KEY_H_
