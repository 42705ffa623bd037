#ifndef CONTROL_INTERNAL_NODE_PAGES_H_
#define CONTROL_INTERNAL_NODE_PAGES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/scraper.h"
#include "framework/global/types/identifiers.h"
#include "operations/types/requests_page.h"

namespace acacialug::control {

// An endpoint's state as one entry sees it, merged from the entry's shards.
struct EndpointView {
  bool connected = false;  // by every shard
  std::uint32_t running = 0;
  std::uint32_t limit = 0;
  std::uint32_t queued = 0;
  std::uint64_t free_kv_tokens = 0;
  Duration work_ahead{};
};

// The part of an entry's or an agent's /status that commands show.
struct NodeStatus {
  http::Address address;
  bool is_entry = false;
  std::string name;  // of the entry, or of the agent's endpoint
  bool ready = false;
  bool draining = false;
  std::uint64_t manifest_offset = 0;             // 0: none active
  std::map<EndpointId, EndpointView> endpoints;  // of an entry
  std::string role;                              // of an agent
  EndpointView load;                             // of an agent
  std::size_t held_attempts = 0;                 // of an agent
};

// The error that an operations port answered, by the number in its body;
// kNodeBadAnswer when the body has no known number. Thread safe.
Error ErrorOf(const http::Response& response);

// Reads an answer to /status. Errors: those of the answer, kNodeBadAnswer.
// Thread safe.
Result<NodeStatus> ReadStatus(const NodeAnswer& answer);

// Reads an answer to /requests or /requests/ID. Errors: those of the answer,
// kNodeBadAnswer, kUnknownRequest. Thread safe.
Result<operations::RequestsPage> ReadRequests(const NodeAnswer& answer);

}  // namespace acacialug::control

#endif  // CONTROL_INTERNAL_NODE_PAGES_H_
