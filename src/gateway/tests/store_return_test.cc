#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "framework/testing/story.h"
#include "gateway/endpoint_catalog.h"
#include "gateway/types/store_position.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;

const ServiceName kService("s");
const EndpointId kA("a");
constexpr Instant kStart{1h};
constexpr Instant kReturn = kStart + 10s;

struct Record {
  std::uint64_t offset = 0;
  std::uint64_t sequence = 0;
  bool leaving = false;
  std::int64_t started_at_ms = 0;
};

EndpointChange Written(std::uint64_t era,
                       const Record& written,
                       const std::string& id = "a") {
  return {.offset = PositionOf(era, written.offset),
          .id = EndpointId(id),
          .record = EndpointRecord{.id = EndpointId(id),
                                   .service = kService,
                                   .started_at_ms = written.started_at_ms,
                                   .leaving = written.leaving,
                                   .sequence = written.sequence}};
}

EndpointSnapshot CopyOf(std::uint64_t era,
                        std::uint64_t end,
                        std::vector<EndpointChange> records) {
  return {.as_of = PositionOf(era, end), .records = std::move(records)};
}

bool Usable(const EndpointCatalog& catalog, const EndpointId& id = kA) {
  const auto usable = catalog.ForService(kService);
  return std::any_of(usable.begin(), usable.end(),
                     [&id](const auto* record) { return record->id == id; });
}

const acacialug::testing::Story kStory(
    "the endpoint catalog, after a return of the store from an older copy,",
    {It("keeps an endpoint leaving that the copy has as ready",
        [] {
          // Guards against requests to an endpoint that had said it leaves. The
          // second row is of a store whose records bear no numbers.
          for (const std::uint64_t numbered : {1, 0}) {
            EndpointCatalog catalog;
            catalog.Apply(Written(1, {.offset = 9,
                                      .sequence = 5 * numbered,
                                      .leaving = true}),
                          kStart);
            catalog.Apply(
                CopyOf(2, 4,
                       {Written(2, {.offset = 3, .sequence = 4 * numbered})}),
                kReturn);
            CPPUNIT_ASSERT(!Usable(catalog));
            CPPUNIT_ASSERT(catalog.Leaves(kA));
            catalog.Apply(Written(2, {.offset = 6,
                                      .sequence = 6 * numbered,
                                      .leaving = true}),
                          kReturn + 1s);
            CPPUNIT_ASSERT(!Usable(catalog));
          }
        }),
     It("keeps an endpoint deleted that the copy still has, until it writes "
        "again",
        [] {
          EndpointCatalog catalog;
          catalog.Apply(Written(1, {.offset = 8, .sequence = 5}), kStart);
          catalog.Apply({.offset = PositionOf(1, 9), .id = kA}, kStart);
          catalog.Apply(
              CopyOf(2, 4, {Written(2, {.offset = 3, .sequence = 4})}),
              kReturn);
          CPPUNIT_ASSERT(catalog.Find(kA) == nullptr);
          catalog.Apply(Written(2, {.offset = 5, .sequence = 6}), kReturn + 1s);
          CPPUNIT_ASSERT(Usable(catalog));
        }),
     It("keeps an endpoint that the copy lacks until it has had time to write "
        "again",
        [] {
          for (const bool writes : {true, false}) {
            EndpointCatalog catalog;
            catalog.Apply(Written(1, {.offset = 9, .sequence = 1}), kStart);
            catalog.Apply(CopyOf(2, 4, {}), kReturn);
            catalog.Sweep(kReturn + 2s);
            CPPUNIT_ASSERT(Usable(catalog));
            if (writes) {
              catalog.Apply(Written(2, {.offset = 5, .sequence = 2}),
                            kReturn + 2s);
            }
            catalog.Sweep(kReturn + EndpointCatalog::kLapseGrace);
            CPPUNIT_ASSERT_EQUAL(writes, Usable(catalog));
          }
        }),
     It("waits as long for a record that had lapsed before",
        [] {
          // Guards against endpoints that are taken for ended though they are
          // about to write again, as the store returned while they were
          // waited for.
          EndpointCatalog catalog;
          catalog.Apply(Written(1, {.offset = 9, .sequence = 1}), kStart);
          catalog.NoteStoreLost();
          catalog.NoteStoreBack(kReturn - 2s);
          catalog.Apply({.offset = PositionOf(1, 10), .id = kA}, kReturn - 2s);
          catalog.EnterEra(2, kReturn);
          catalog.Sweep(kReturn + 2s);
          CPPUNIT_ASSERT(Usable(catalog));
          catalog.Sweep(kReturn + EndpointCatalog::kLapseGrace);
          CPPUNIT_ASSERT(!Usable(catalog));
        }),
     It("takes no record of a former start from the copy",
        [] {
          int restarts = 0;
          EndpointCatalog catalog(
              {.on_restart = [&restarts](const EndpointRecord&) {
                ++restarts;
              }});
          catalog.Apply(
              Written(1, {.offset = 9, .sequence = 1, .started_at_ms = 200}),
              kStart);
          catalog.Apply(
              CopyOf(
                  2, 4,
                  {Written(
                      2, {.offset = 3, .sequence = 7, .started_at_ms = 100})}),
              kReturn);
          CPPUNIT_ASSERT_EQUAL(std::int64_t{200},
                               catalog.Find(kA)->started_at_ms);
          catalog.Apply(
              Written(2, {.offset = 5, .sequence = 1, .started_at_ms = 300}),
              kReturn + 1s);
          CPPUNIT_ASSERT_EQUAL(std::int64_t{300},
                               catalog.Find(kA)->started_at_ms);
          CPPUNIT_ASSERT_EQUAL(1, restarts);
        }),
     It("drops what arrives late from before, also over two returns",
        [] {
          EndpointCatalog catalog;
          catalog.Apply(Written(1, {.offset = 9, .sequence = 5}), kStart);
          catalog.Apply(
              CopyOf(3, 4, {Written(3, {.offset = 3, .sequence = 6})}),
              kReturn);
          catalog.Apply({.offset = PositionOf(1, 99), .id = kA}, kReturn);
          catalog.Apply(CopyOf(2, 99, {}), kReturn + 5s);
          CPPUNIT_ASSERT(Usable(catalog));
          CPPUNIT_ASSERT(catalog.complete_to() == PositionOf(3, 4));
        }),
     It("orders records within the new era by their positions alone",
        [] {
          // Guards against an endpoint whose number went wrong once, and that
          // could then never leave.
          EndpointCatalog catalog;
          catalog.Apply(Written(1, {.offset = 9, .sequence = ~0ULL}), kStart);
          catalog.Apply(
              CopyOf(2, 4, {Written(2, {.offset = 3, .sequence = 7})}),
              kReturn);
          catalog.Apply(
              Written(2, {.offset = 5, .sequence = 8, .leaving = true}),
              kReturn + 1s);
          CPPUNIT_ASSERT(!Usable(catalog));
        }),
     It("tells peers of the era, and that lapsed records are not settled", [] {
       EndpointCatalog catalog;
       catalog.Apply(CopyOf(1, 10, {Written(1, {.offset = 9, .sequence = 5})}),
                     kStart);
       CPPUNIT_ASSERT(catalog.Snapshot(kReturn).settled);
       catalog.Apply(CopyOf(2, 4, {Written(2, {.offset = 3, .sequence = 5})}),
                     kReturn);
       CPPUNIT_ASSERT(!catalog.Snapshot(kReturn).settled);
       CPPUNIT_ASSERT(EraOf(catalog.changed_to()) == 2);
       EndpointCatalog peer;
       peer.Apply(Written(1, {.offset = 9, .sequence = 5}), kStart);
       CPPUNIT_ASSERT(catalog.changed_to() > peer.complete_to());
       peer.Apply(catalog.Snapshot(kReturn), kReturn);
       CPPUNIT_ASSERT(peer.complete_to() == catalog.complete_to());
       CPPUNIT_ASSERT(Usable(peer));
     })});

}  // namespace
}  // namespace acacialug::gateway
