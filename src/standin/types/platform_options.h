#ifndef STANDIN_TYPES_PLATFORM_OPTIONS_H_
#define STANDIN_TYPES_PLATFORM_OPTIONS_H_

#include <cstdint>
#include <vector>

#include "cluster/i_host_list.h"
#include "framework/global/types/instant.h"

namespace acacialug::standin {

struct LogOptions {
  // Limits on what is kept, for each stream; zero: no limit.
  std::uint64_t retain_records = 0;
  Duration retain_age{};
  // Over all streams; zero: no limit. The burst is that of one second.
  double appends_per_second = 500;
  std::uint64_t max_record_bytes = std::uint64_t{1} << 20U;
};

struct HostListOptions {
  std::vector<cluster::HostRecord> hosts;
  Duration lag{};  // before a change is visible
};

struct WeightStoreOptions {
  std::uint32_t permits = 2;  // held at once
  Duration lease = 30s;       // a permit that is not released ends by then
};

}  // namespace acacialug::standin

#endif  // STANDIN_TYPES_PLATFORM_OPTIONS_H_
