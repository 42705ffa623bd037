#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "placement/decode_picker.h"
#include "placement/prefill_picker.h"
#include "placement/prefix_hasher.h"
#include "placement/working_set.h"

namespace acacialug::placement {
namespace {

using testing::ForEach;
using testing::It;

struct Pool {
  explicit Pool(std::size_t size) {
    for (std::size_t index = 0; index < size; ++index) {
      this->views.push_back(std::make_unique<EndpointView>(
          EndpointView::Options{.id = EndpointId("e" + std::to_string(index)),
                                .slots = 2,
                                .kv_tokens = 1000}));
      this->usable.push_back(this->views.back().get());
    }
  }

  std::vector<std::unique_ptr<EndpointView>> views;
  std::vector<EndpointView*> usable;
  RandomSource random{1};
  Instant now{1h};
};

protocol::EndpointLoad Load(std::uint32_t running, Duration work_ahead = {}) {
  return {.free_kv_tokens = 1000,
          .total_kv_tokens = 1000,
          .running = running,
          .limit = 2,
          .work_ahead = work_ahead,
          .next_slot_in = 100ms};
}

const testing::Story kViews(
    "a view of an endpoint",
    {It("counts the work sent until a report can contain it",
        [] {
          Pool pool(1);
          EndpointView& view = *pool.views[0];
          CPPUNIT_ASSERT(view.SlotWait(600, pool.now) == Duration::zero());
          view.NoteSent({.kv_tokens = 600}, pool.now);
          CPPUNIT_ASSERT(view.SlotWait(600, pool.now) > Duration::zero());
          view.Report(Load(0), pool.now);  // was made before the work arrived
          CPPUNIT_ASSERT(view.SlotWait(600, pool.now) > Duration::zero());
          view.Report(Load(0), pool.now + 1s);
          CPPUNIT_ASSERT(view.SlotWait(600, pool.now + 1s) == Duration::zero());
        }),
     It("counts a refused size as full until its time or a report of capacity",
        [] {
          Pool pool(1);
          EndpointView& view = *pool.views[0];
          view.NoteFull(600, 50ms, pool.now);
          CPPUNIT_ASSERT(view.SlotWait(600, pool.now) == 50ms);
          CPPUNIT_ASSERT(view.SlotWait(500, pool.now) == Duration::zero());
          CPPUNIT_ASSERT(view.SlotWait(600, pool.now + 50ms) ==
                         Duration::zero());
          view.Report(Load(1), pool.now);
          CPPUNIT_ASSERT(view.SlotWait(600, pool.now) == Duration::zero());
        }),
     It("reduces the known work ahead as time passes", [] {
       Pool pool(1);
       pool.views[0]->Report(Load(1, 300ms), pool.now);
       CPPUNIT_ASSERT(pool.views[0]->WorkAhead(pool.now + 100ms) == 200ms);
       CPPUNIT_ASSERT(pool.views[0]->WorkAhead(pool.now + 1s) ==
                      Duration::zero());
     })});

struct NamedRule {
  const char* name;
  std::function<PickRule()> make;
};

// `ahead` is the work ahead of the endpoint that has the prefix; the other
// endpoint has none.
struct AffinityCase {
  const char* name;
  Duration ahead;
  bool repeated;
  bool waits;  // for the endpoint that has the prefix
};

const testing::Story kAffinity(
    "a prefill whose prefix is cached at one endpoint",
    {// Three blocks of 2000 tokens at 20,000 tokens per second take 300 ms. At
     // first, half of the tokens are assumed to be still cached.
     ForEach<AffinityCase>(
         "",
         {{"waits for this endpoint up to the time that the prefix saves",
           149ms, false, true},
          {"does not wait longer than the time that the prefix saves", 151ms,
           false, false},
          {"waits longer when the prompt was computed before for this request",
           899ms, true, true},
          {"waits at most three times the saved time for such a prompt", 901ms,
           true, false}},
         [](const AffinityCase& row) { return std::string(row.name); },
         [](const AffinityCase& row) {
           Pool pool(2);
           PrefillPicker picker({});
           const std::vector<std::uint64_t> prefix = {1, 2, 3};
           picker.NoteSent(prefix, *pool.views[1]);
           pool.views[1]->Report(Load(1, row.ahead), pool.now);
           const EndpointView* const view =
               picker.Pick(pool.usable,
                           {.prompt_tokens = 6000,
                            .prefix = prefix,
                            .block_tokens = 2000,
                            .repeated = row.repeated,
                            .now = pool.now},
                           pool.random);
           CPPUNIT_ASSERT_EQUAL(row.waits, view == pool.usable[1]);
         })});

const testing::Story kPickers(
    "an endpoint is picked",
    {ForEach<NamedRule>(
         "never twice for one request, and none when all were tried,",
         {{"by prediction", [] { return PickDecodeByPrediction(3); }},
          {"for a call", [] { return PickCallByPrediction(3); }},
          {"at random", [] { return PickRandom(); }},
          {"by round robin", [] { return PickRoundRobin(); }},
          {"by the last report", [] { return PickLeastReported(); }},
          {"for a prefill",
           [] {
             return [picker = PrefillPicker({})](Candidates candidates,
                                                 const PlacementNeed& need,
                                                 RandomSource& random) mutable {
               return picker.Pick(candidates, need, random);
             };
           }}},
         [](const NamedRule& rule) { return std::string(rule.name); },
         [](const NamedRule& rule) {
           Pool pool(9);
           const PickRule pick = rule.make();
           std::vector<std::uint64_t> tried;
           for (std::size_t count = 0; count < 9; ++count) {
             EndpointView* const view = pick(
                 pool.usable, {.tried = tried, .now = pool.now}, pool.random);
             tried.push_back(view == nullptr ? 0 : view->Key());
           }
           CPPUNIT_ASSERT_EQUAL(std::size_t{9},
                                std::set(tried.begin(), tried.end()).size());
           CPPUNIT_ASSERT(!std::set(tried.begin(), tried.end()).contains(0));
           CPPUNIT_ASSERT(pick(pool.usable, {.tried = tried}, pool.random) ==
                          nullptr);
         }),
     It("with a free slot for a decode",
        [] {
          Pool pool(3);
          pool.views[0]->Report(Load(2), pool.now);
          pool.views[2]->Report(Load(2), pool.now);
          CPPUNIT_ASSERT(PickDecodeByPrediction(3)(
                             pool.usable, {.kv_tokens = 10, .now = pool.now},
                             pool.random) == pool.usable[1]);
        }),
     It("for all prompts with the same prefix, until it is overloaded", [] {
       Pool pool(5);
       PrefillPicker here({});
       PrefillPicker there({});
       const protocol::PrefixChain prefix = {11, 12, 13};
       const PlacementNeed need{.prompt_tokens = 100,
                                .prefix = prefix,
                                .block_tokens = 30,
                                .now = pool.now};
       EndpointView* const first = here.Pick(pool.usable, need, pool.random);
       CPPUNIT_ASSERT(there.Pick(pool.usable, need, pool.random) == first);
       here.NoteSent(prefix, *first);
       CPPUNIT_ASSERT_EQUAL(45.0, here.CachedTokens(need, *first));
       here.NoteEvicted(13, *first);
       CPPUNIT_ASSERT_EQUAL(30.0, here.CachedTokens(need, *first));
       here.Learn(30, 0);  // the engine had no token of the prefix
       CPPUNIT_ASSERT(here.CachedTokens(need, *first) < 30.0);
       // 1 ms is less than the time that the prefix saves, 10 s is more.
       first->Report(Load(1, 1ms), pool.now);
       CPPUNIT_ASSERT(here.Pick(pool.usable, need, pool.random) == first);
       first->Report(Load(1, 10s), pool.now);
       CPPUNIT_ASSERT(here.Pick(pool.usable, need, pool.random) != first);
     })});

const testing::Story kPrefixes(
    "a prefix chain",
    {It("equals another exactly up to where the prompts differ", [] {
      const std::string prompt(100, 'a');
      const std::string other = std::string(64, 'a') + std::string(36, 'b');
      const ModelName model("m");
      const auto first = HashPrefix(model, prompt, 8);
      const auto second = HashPrefix(model, other, 8);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.size());
      CPPUNIT_ASSERT(first[1] == second[1] && first[2] != second[2]);
      CPPUNIT_ASSERT(first[0] != first[1]);
      CPPUNIT_ASSERT(HashPrefix(ModelName("n"), prompt, 8)[0] != first[0]);
    })});

manifest::Manifest ManyEndpoints(std::size_t count) {
  manifest::Manifest manifest;
  for (std::size_t index = 0; index < count; ++index) {
    manifest.endpoints.push_back(
        {.id = EndpointId("e" + std::to_string(index)),
         .domain = FailureDomain(index % 4 == 0 ? "a" : "b"),
         .service = ServiceName("lm"),
         .role = protocol::EndpointRole::kDecode});
  }
  return manifest;
}

std::vector<const manifest::Endpoint*> Choose(
    const manifest::Manifest& manifest,
    const std::string& entry) {
  return WorkingSet({.entry = EntryId(entry),
                     .domain = FailureDomain("a"),
                     .size = 64})
      .Choose(manifest, ServiceName("lm"), protocol::EndpointRole::kDecode);
}

const testing::Story kWorkingSets(
    "a working set",
    {It("contains all of a small pool, own failure domain first",
        [] {
          const auto manifest = ManyEndpoints(12);
          const auto chosen = Choose(manifest, "entry");
          CPPUNIT_ASSERT_EQUAL(std::size_t{12}, chosen.size());
          CPPUNIT_ASSERT(chosen[2]->domain == FailureDomain("a"));
          CPPUNIT_ASSERT(chosen[3]->domain == FailureDomain("b"));
        }),
     It("of a large pool includes other failure domains, and distributes "
        "entries evenly over endpoints",
        [] {
          const auto manifest = ManyEndpoints(1200);
          std::map<EndpointId, int> entries;
          for (int entry = 0; entry < 150; ++entry) {
            std::size_t remote = 0;
            for (const auto* endpoint :
                 Choose(manifest, "entry-" + std::to_string(entry))) {
              remote += endpoint->domain == FailureDomain("a") ? 0 : 1;
              ++entries[endpoint->id];
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{16}, remote);
          }
          // 150 entries x 48 slots over 300 endpoints of the same domain: 24
          // expected.
          for (int index = 0; index < 1200; index += 4) {
            const int count = entries[EndpointId("e" + std::to_string(index))];
            CPPUNIT_ASSERT(count > 6 && count < 48);
          }
        }),
     It("leaves out leaving endpoints, and replaces only these", [] {
       auto manifest = ManyEndpoints(1200);
       const auto before = Choose(manifest, "entry");
       const EndpointId leaving = before[0]->id;
       std::set<EndpointId> kept;
       for (const auto* endpoint : before) {
         kept.insert(endpoint->id);
       }
       for (auto& endpoint : manifest.endpoints) {
         endpoint.leaving = endpoint.id == leaving;
       }
       std::size_t replaced = 0;
       for (const auto* endpoint : Choose(manifest, "entry")) {
         CPPUNIT_ASSERT(endpoint->id != leaving);
         replaced += kept.contains(endpoint->id) ? 0 : 1;
       }
       CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replaced);
     })});

}  // namespace
}  // namespace acacialug::placement
