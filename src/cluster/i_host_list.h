#ifndef CLUSTER_I_HOST_LIST_H_
#define CLUSTER_I_HOST_LIST_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/identifiers.h"
#include "framework/global/types/result.h"

namespace acacialug::cluster {

enum class HostState : std::uint8_t { kLive, kLeaving };
inline constexpr EnumNames<HostState, 2> kHostStateNames = {{
    {HostState::kLive, "live"},
    {HostState::kLeaving, "leaving"},
}};

struct HostRecord {
  HostId host;
  HostState state = HostState::kLive;
};

// The platform's list of live and leaving hosts, which may be out of date.
// Lives on one thread; the hook runs there, never from inside the call.
class IHostList {
 public:
  virtual ~IHostList() = default;

  // Errors: kPlatformUnavailable, kPlatformBadAnswer.
  virtual void Read(
      std::function<void(Result<std::vector<HostRecord>>)> on_done) = 0;
};

}  // namespace acacialug::cluster

#endif  // CLUSTER_I_HOST_LIST_H_
