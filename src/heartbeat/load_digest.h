#ifndef HEARTBEAT_LOAD_DIGEST_H_
#define HEARTBEAT_LOAD_DIGEST_H_

#include "protocol/types/messages.h"

namespace acacialug::heartbeat {

// Whether an entry that knows the load `known` may place work differently when
// it knows `current`: a change by an eighth of a limit, of the memory or of a
// rate, or a queue that begins or ends. Entries learn of smaller changes from
// the answers to requests. Thread safe.
bool ChangedMaterially(const protocol::EndpointLoad& known,
                       const protocol::EndpointLoad& current);

}  // namespace acacialug::heartbeat

#endif  // HEARTBEAT_LOAD_DIGEST_H_
