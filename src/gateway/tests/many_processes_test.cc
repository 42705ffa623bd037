#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/call_placement.h"
#include "gateway/endpoint_health.h"
#include "gateway/level_choice.h"
#include "gateway/load_table.h"
#include "gateway/peer_rounds.h"
#include "gateway/stream_placement.h"
#include "gateway/tests/heartbeat_interval.h"
#include "gateway/tests/timeline.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;
using testing::Timeline;

constexpr Instant kStart{1h};
constexpr Duration kOneWay = 1500us;
constexpr std::size_t kDomains = 6;
constexpr std::size_t kDecode = 104;
constexpr std::size_t kPrefill = 56;
constexpr std::uint32_t kMaxFull = 3;  // refusals until one is turned away
const EngineTraits kEngine{.slots = 64, .kv_tokens = 26000};
const GenerationSize kSize{.prompt_tokens = 3000,
                           .max_output_tokens = 900,
                           .expected_output_tokens = 900};

FailureDomain DomainOf(std::size_t number) {
  return FailureDomain(std::to_string(number % kDomains));
}

// Processes that place work at one pool and tell each other of it, as the
// gateways do: with each peer more, each is told less often.
class Processes {
 public:
  struct Process {
    FailureDomain domain;
    LoadTable load_table;
    EndpointHealth health;
    StreamPlacement streams{{}, this->load_table, this->health};
    CallPlacement calls{this->load_table, this->health};
  };

  Processes(std::size_t count, Timeline& timeline, RandomSource& source)
      : time(timeline), random(source) {
    for (std::size_t number = 0; number < count; ++number) {
      this->all.push_back(std::make_unique<Process>());
      this->all.back()->domain = DomainOf(number);
    }
    for (std::size_t number = 0; number < count; ++number) {
      for (const bool near : {true, false}) {
        this->time.At(
            kStart + FromSeconds(Seconds(this->Interval(near)) *
                                 this->random.Unit()),
            [this, number, near] { this->SendHeartbeat(number, near); });
      }
    }
  }

  Process& Any(RandomSource& source) {
    return *this->all[source.Below(this->all.size())];
  }

 private:
  Duration Interval(bool near) const {
    return testing::HeartbeatInterval(this->all.size(), kDomains, near);
  }

  // To those of its own domain, or to all others.
  void SendHeartbeat(std::size_t number, bool near) {
    PeerLoad load = this->all[number]->load_table.Own();
    load.near = near;
    this->time.At(this->time.now + kOneWay, [this, number, load] {
      for (std::size_t to = 0; to < this->all.size(); ++to) {
        if (to != number && (DomainOf(to) == DomainOf(number)) == load.near) {
          this->all[to]->load_table.SetPeer(std::to_string(number), load,
                                            this->time.now);
        }
      }
    });
    this->time.At(this->time.now + this->Interval(near),
                  [this, number, near] { this->SendHeartbeat(number, near); });
  }

  Timeline& time;
  RandomSource& random;
  std::vector<std::unique_ptr<Process>> all;
};

using Process = Processes::Process;

// Generations. Endpoints are asked for memory, which only they know exactly.
class Fleet {
 public:
  struct Options {
    std::size_t processes = 1;
    double load = 0.8;  // share of what the decode endpoints can end
  };

  struct Count {
    int asked = 0;
    int placed = 0;   // and in time
    int refused = 0;  // reservations, by endpoints that were full
  };

  explicit Fleet(Options fleet_options) : options(fleet_options) {
    for (std::size_t number = 0; number < kDecode + kPrefill; ++number) {
      const bool decode = number < kDecode;
      this->records.push_back(
          {.id = EndpointId("e" + std::to_string(number)),
           .service = ServiceName("s"),
           .domain = DomainOf(number),
           .role = decode ? EndpointRole::kDecode : EndpointRole::kPrefill});
    }
    for (const EndpointRecord& record : this->records) {
      this->endpoints.push_back(&record);
    }
    this->Arrive();
  }

  Count Run(Duration time_to_run) {
    this->time.RunUntil(kStart + kWarmUp);
    this->count = {};
    this->time.RunUntil(kStart + kWarmUp + time_to_run);
    return this->count;
  }

 private:
  static constexpr Duration kWarmUp = 6s;

  struct Generation {
    Process* at;
    Instant asked;
    std::vector<EndpointId> tried;
  };
  using GenerationPtr = std::shared_ptr<Generation>;

  Duration Hold() const {
    return this->forecast.PrefillTime(kSize.prompt_tokens) +
           this->forecast.FirstEvent() +
           FromSeconds(kSize.expected_output_tokens * this->forecast.TokenMs() /
                       1000);
  }

  double TokensOf() const {
    return static_cast<double>(
        StreamPlacement({}, LoadTable(), EndpointHealth()).KvTokens(kSize));
  }

  void Arrive() {
    const double rate = this->options.load * kDecode * kEngine.kv_tokens /
                        this->TokensOf() / Seconds(this->Hold());
    const Duration gap = FromSeconds(this->arrivals.Exponential(1 / rate));
    this->time.At(this->time.now + gap, [this] {
      ++this->count.asked;
      this->Place(std::make_shared<Generation>(
          Generation{.at = &this->processes.Any(this->arrivals),
                     .asked = this->time.now}));
      this->Arrive();
    });
  }

  void Place(const GenerationPtr& generation) {
    const auto placement = generation->at->streams.Pick(
        {.size = kSize,
         .objective = 900ms,
         .waited = this->time.now - generation->asked,
         .tried = generation->tried,
         .domain = generation->at->domain,
         .now = this->time.now},
        kEngine, this->forecast, this->endpoints, this->random);
    if (!placement) {
      return;
    }
    generation->at->load_table.Add(placement->decode.id,
                                   placement->decode_load);
    if (placement->prefill) {
      generation->at->load_table.Add(placement->prefill->id,
                                     placement->prefill_load);
    }
    this->time.At(this->time.now + kOneWay,
                  [this, generation, placement = *placement] {
                    this->Reserve(generation, placement);
                  });
  }

  // At the endpoint.
  void Reserve(const GenerationPtr& generation,
               const StreamPlacement::Placement& placement) {
    std::uint64_t& held = this->held[placement.decode.id];
    const bool granted =
        held + placement.decode_load.kv_tokens <= kEngine.kv_tokens;
    held += granted ? placement.decode_load.kv_tokens : 0;
    this->time.At(this->time.now + kOneWay,
                  [this, generation, placement, granted] {
                    if (granted) {
                      this->Prefill(generation, placement);
                    } else {
                      this->Refuse(generation, placement);
                    }
                  });
  }

  void Refuse(const GenerationPtr& generation,
              const StreamPlacement::Placement& placement) {
    ++this->count.refused;
    Process& process = *generation->at;
    process.health.NoteFull(placement.decode.id, this->time.now);
    process.load_table.Remove(placement.decode.id, placement.decode_load);
    if (placement.prefill) {
      process.load_table.Remove(placement.prefill->id, placement.prefill_load);
    }
    generation->tried.push_back(placement.decode.id);
    if (generation->tried.size() < kMaxFull) {
      this->Place(generation);
    }
  }

  // One prompt after the other.
  void Prefill(const GenerationPtr& generation,
               const StreamPlacement::Placement& placement) {
    const EndpointId at =
        placement.prefill ? placement.prefill->id : placement.decode.id;
    Instant& free_at = this->free_at[at];
    free_at = std::max(free_at, this->time.now) +
              this->forecast.PrefillTime(kSize.prompt_tokens);
    this->time.At(free_at, [this, generation, placement] {
      if (placement.prefill) {
        generation->at->load_table.Remove(placement.prefill->id,
                                          placement.prefill_load);
      }
      this->Decode(generation, placement);
    });
  }

  void Decode(const GenerationPtr& generation,
              const StreamPlacement::Placement& placement) {
    const Duration first =
        this->time.now + this->forecast.FirstEvent() - generation->asked;
    this->count.placed += first <= 900ms ? 1 : 0;
    const Duration lifetime =
        FromSeconds(Seconds(this->Hold()) * (0.5 + this->random.Unit()));
    this->time.At(this->time.now + lifetime, [this, generation, placement] {
      this->held[placement.decode.id] -= placement.decode_load.kv_tokens;
      generation->at->load_table.Remove(placement.decode.id,
                                        placement.decode_load);
    });
  }

  const Options options;
  const forecast::ServiceForecast forecast;
  RandomSource random{11};
  RandomSource arrivals{12};  // the same for any number of processes
  Timeline time{kStart};
  Processes processes{this->options.processes, this->time, this->random};
  std::vector<EndpointRecord> records;
  std::vector<const EndpointRecord*> endpoints;
  std::map<EndpointId, std::uint64_t> held;  // as the endpoints know it
  std::map<EndpointId, Instant> free_at;
  Count count;
};

// Plain requests, at a few endpoints of some slots each.
class Calls {
 public:
  Calls(std::size_t count, double load) : processes(count, time, random) {
    for (std::size_t number = 0; number < kDomains; ++number) {
      this->records.push_back({.id = EndpointId("c" + std::to_string(number)),
                               .service = ServiceName("s"),
                               .domain = DomainOf(number),
                               .slots = kSlots});
    }
    for (const EndpointRecord& record : this->records) {
      this->endpoints.push_back(&record);
    }
    this->Arrive(FromSeconds(Seconds(kWork) / (load * kSlots * kDomains)));
  }

  // Share of them that had an answer within five times their work.
  double InTime(Duration time_to_run) {
    this->time.RunUntil(kStart + time_to_run);
    return static_cast<double>(this->in_time) / this->ended;
  }

 private:
  static constexpr std::uint32_t kSlots = 6;
  static constexpr Duration kWork = 60ms;

  void Arrive(Duration mean_gap) {
    const Duration gap =
        FromSeconds(this->arrivals.Exponential(Seconds(mean_gap)));
    this->time.At(this->time.now + gap, [this, mean_gap] {
      this->Place(this->processes.Any(this->arrivals));
      this->Arrive(mean_gap);
    });
  }

  void Place(Process& at) {
    const EndpointRecord* const endpoint = at.calls.Pick(
        {.domain = at.domain, .hold = kWork, .now = this->time.now},
        this->endpoints, this->random);
    if (endpoint == nullptr) {
      ++this->ended;
      return;
    }
    at.load_table.Add(endpoint->id, {.requests = 1});
    std::vector<Instant>& slots = this->free_at[endpoint->id];
    slots.resize(kSlots, kStart);
    const auto slot = std::min_element(slots.begin(), slots.end());
    *slot = std::max(*slot, this->time.now) + kWork;
    this->time.At(
        *slot, [this, &at, id = endpoint->id, asked = this->time.now] {
          at.load_table.Remove(id, {.requests = 1});
          ++this->ended;
          this->in_time += this->time.now - asked <= 5 * kWork ? 1 : 0;
        });
  }

  RandomSource random{13};
  RandomSource arrivals{14};
  Timeline time{kStart};
  Processes processes;
  std::vector<EndpointRecord> records;
  std::vector<const EndpointRecord*> endpoints;
  std::map<EndpointId, std::vector<Instant>> free_at;
  int ended = 0;
  int in_time = 0;
};

double ServedShare(const Fleet::Count& count) {
  return static_cast<double>(count.placed) / count.asked;
}

std::string Text(const Fleet::Count& count) {
  return std::to_string(count.placed) + " of " + std::to_string(count.asked) +
         " in time, " + std::to_string(count.refused) + " refused";
}

const acacialug::testing::Story kStory(
    "a hundred processes that place at one pool",
    {It("choose evenly by old news, and the least load by fresh ones",
        [] {
          RandomSource random(1);
          const std::vector<double> loads{0.5, 0.1, 0.3, 0.9};
          CPPUNIT_ASSERT(!ChooseByLevel({}, 1, random));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               *ChooseByLevel(loads, 0, random));
          std::vector<int> chosen(loads.size());
          for (int number = 0; number < 4000; ++number) {
            // Fills the lower two up to 0.4.
            ++chosen[*ChooseByLevel(loads, 0.4, random)];
          }
          CPPUNIT_ASSERT_EQUAL(0, chosen[0] + chosen[3]);
          CPPUNIT_ASSERT(chosen[1] > 2850 && chosen[1] < 3150);
          std::vector<int> evenly(loads.size());
          for (int number = 0; number < 4000; ++number) {
            ++evenly[*ChooseByLevel(loads, 1000, random)];
          }
          for (const int times : evenly) {
            CPPUNIT_ASSERT(times > 900 && times < 1100);
          }
        }),
     It("tell their neighbours more often than the others, and no more in all",
        [] {
          for (const std::size_t peers : {1, 5, 24, 25, 26, 102, 749}) {
            for (const std::size_t near : {peers / 6, peers / 2, peers}) {
              const Duration to_near = RoundInterval(peers, near);
              const Duration to_far = RoundInterval(peers, peers - near);
              const double sent =
                  static_cast<double>(near) / Seconds(to_near) +
                  static_cast<double>(peers - near) / Seconds(to_far);
              CPPUNIT_ASSERT(sent <= 251);
              CPPUNIT_ASSERT(to_near >= 20ms);
              CPPUNIT_ASSERT(near > peers / 2 || to_near <= to_far);
            }
          }
          CPPUNIT_ASSERT(RoundInterval(22, 4) == RoundInterval(22, 18));
          CPPUNIT_ASSERT(RoundInterval(102, 17) * 3 < RoundInterval(102, 85));
        }),
     It("serve a load that fits nearly as well as one process would",
        [] {
          // Symptom: with 103 processes every second reservation is refused by
          // an endpoint that is full, and callers are turned away, while a
          // fifth of the pool is free. Sequence: each hears of the others'
          // placements 0.4 s late; all choose the few endpoints that looked
          // emptiest; these are overfull until the next news, when others are.
          // Cause: the least of many old figures is the most wrong one.
          const Fleet::Count one = Fleet({.processes = 1}).Run(8s);
          for (const std::size_t processes : {5, 22, 103}) {
            const Fleet::Count many = Fleet({.processes = processes}).Run(8s);
            const std::string text =
                std::to_string(processes) + ": " + Text(many);
            CPPUNIT_ASSERT_MESSAGE(
                text, ServedShare(many) >= ServedShare(one) - 0.02);
            CPPUNIT_ASSERT_MESSAGE(text, many.refused <= many.asked / 2);
          }
        }),
     It("answer plain requests in time though these end before peers hear of "
        "them",
        [] {
          // Symptom: at three quarters of the slots in use a tenth of the plain
          // requests is late with 103 processes, and none with five. Sequence:
          // a request is over before the next heartbeat; the endpoint that had
          // few at the last one gets all until the next. Cause: news that are
          // older than the work were taken for the present.
          const double one = Calls(1, 0.75).InTime(20s);
          for (const std::size_t processes : {5, 22, 103}) {
            const double many = Calls(processes, 0.75).InTime(20s);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(processes) + ": " +
                                       std::to_string(many) +
                                       ", one: " + std::to_string(one),
                                   many >= one - 0.02);
          }
        }),
     It("serve what fits when more is offered than the pool ends", [] {
       const Fleet::Count one = Fleet({.processes = 1, .load = 1.4}).Run(8s);
       const Fleet::Count many = Fleet({.processes = 103, .load = 1.4}).Run(8s);
       CPPUNIT_ASSERT_MESSAGE(Text(many) + "; one: " + Text(one),
                              many.placed >= one.placed * 95 / 100);
     })});

}  // namespace
}  // namespace acacialug::gateway
