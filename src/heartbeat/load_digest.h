#ifndef HEARTBEAT_LOAD_DIGEST_H_
#define HEARTBEAT_LOAD_DIGEST_H_

#include "protocol/types/messages.h"

namespace acacialug::heartbeat {

// Whether an entry that places work by `known` may place it differently by
// `current`: an eighth of a limit, of the memory or of a rate, or a queue that
// begins or ends. Less than that is left to the answers of requests. Thread
// safe.
bool ChangedMaterially(const protocol::EndpointLoad& known,
                       const protocol::EndpointLoad& current);

}  // namespace acacialug::heartbeat

#endif  // HEARTBEAT_LOAD_DIGEST_H_
