#ifndef SCENARIO_EXPLORER_H_
#define SCENARIO_EXPLORER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"
#include "scenario/types/simulation_options.h"

namespace acacialug::scenario {

// The events of an explored run. Their names are those of scenario files.
enum class EventKind : std::uint8_t {
  kAsk,
  kCall,
  kTicketCall,
  kCancel,
  kKillEntry,
  kVanishEntry,
  kPauseEntry,
  kRestartAgent,
  kVanishAgent,
  kPauseAgent,
  kStallEngine,
  kRestartEngine,
  kSlowLink,
  kCut,
  kPartition,
  kMessage,
  kLogOutage,
  kLogAnswersLost,
  kLogLate,
  kDrainEntry,
  kDrainAgent,
  kPublish,
  kOrder,
};
inline constexpr EnumNames<EventKind, 23> kEventKindNames = {{
    {EventKind::kAsk, "ask"},
    {EventKind::kCall, "call"},
    {EventKind::kTicketCall, "ticket call"},
    {EventKind::kCancel, "cancel"},
    {EventKind::kKillEntry, "kill entry"},
    {EventKind::kVanishEntry, "vanish entry"},
    {EventKind::kPauseEntry, "pause entry"},
    {EventKind::kRestartAgent, "restart agent"},
    {EventKind::kVanishAgent, "vanish agent"},
    {EventKind::kPauseAgent, "pause agent"},
    {EventKind::kStallEngine, "stall engine"},
    {EventKind::kRestartEngine, "restart engine"},
    {EventKind::kSlowLink, "slow link"},
    {EventKind::kCut, "cut"},
    {EventKind::kPartition, "partition"},
    {EventKind::kMessage, "message"},
    {EventKind::kLogOutage, "log outage"},
    {EventKind::kLogAnswersLost, "log answers lost"},
    {EventKind::kLogLate, "log late"},
    {EventKind::kDrainEntry, "drain entry"},
    {EventKind::kDrainAgent, "drain agent"},
    {EventKind::kPublish, "publish"},
    {EventKind::kOrder, "order"},
}};

// One event; the meaning of its numbers depends on its kind.
struct ExploredEvent {
  Duration at{};
  EventKind kind = EventKind::kAsk;
  std::uint64_t first = 0;   // index of an entry, endpoint, request or key
  std::uint64_t second = 0;  // size, or index of an endpoint or message kind
  Duration length{};         // of the fault, if it ends

  std::string ToText() const;
};

// A reproducible run: the same seed, events and rules give the same result.
struct ExploredRun {
  std::uint64_t seed = 0;
  std::vector<ExploredEvent> events;

  std::string ToText() const;
};

// A random run with nearly full decode memory. Thread safe, as all functions
// here.
ExploredRun MakeRun(std::uint64_t seed);

// A combination of faults that have an effect only together: the log is out or
// loses answers, an entry is paused and an agent of the plain service ends, all
// within some hundred milliseconds, while callers send the same keys to both
// entries. The same happens again some seconds later.
ExploredRun MakeStorm(std::uint64_t seed);

// What the checker found in the run, including the quiet time at its end.
std::vector<std::string> Explore(const ExploredRun& run,
                                 const SafetyRules& rules = {});

// Removes events one by one, as long as the checker still finds something.
// Precondition: it finds something in `run`.
ExploredRun Shrink(ExploredRun run, const SafetyRules& rules = {});

}  // namespace acacialug::scenario

#endif  // SCENARIO_EXPLORER_H_
