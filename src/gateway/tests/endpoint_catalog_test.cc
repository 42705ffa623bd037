#include "gateway/endpoint_catalog.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <vector>

#include "framework/testing/story.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;

const ServiceName kService("s");
constexpr Instant kStart{1h};

EndpointChange Written(std::uint64_t offset,
                       const std::string& id,
                       bool leaving = false) {
  return {.offset = LogOffset(offset),
          .id = EndpointId(id),
          .record = EndpointRecord{
              .id = EndpointId(id), .service = kService, .leaving = leaving}};
}

EndpointChange Deleted(std::uint64_t offset, const std::string& id) {
  return {.offset = LogOffset(offset), .id = EndpointId(id)};
}

const acacialug::testing::Story kStory(
    "the catalog of endpoints",
    {It("takes news by its offset, never backwards",
        [] {
          EndpointCatalog catalog;
          CPPUNIT_ASSERT(catalog.Apply(Written(5, "a", true), kStart));
          CPPUNIT_ASSERT(!catalog.Apply(Written(4, "a"), kStart));
          CPPUNIT_ASSERT(catalog.ForService(kService).empty());
        }),
     It("tells of an endpoint that started again under its id, and of no other",
        [] {
          std::vector<std::int64_t> started;
          EndpointCatalog catalog([&started](const EndpointRecord& record) {
            started.push_back(record.started_at_ms);
          });
          const auto write = [&catalog](std::uint64_t offset,
                                        std::int64_t started_at_ms) {
            EndpointChange change = Written(offset, "a");
            change.record->started_at_ms = started_at_ms;
            catalog.Apply(change, kStart);
          };
          write(1, 0);
          write(2, 100);  // it begins to say when it started
          write(3, 100);
          write(4, 200);
          write(3, 100);  // comes late
          CPPUNIT_ASSERT(started == std::vector<std::int64_t>{200});
        }),
     It("does not call a heartbeat a change",
        [] {
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          CPPUNIT_ASSERT(!catalog.Apply(Written(6, "a"), kStart));
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, catalog.changed_to().value);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, catalog.complete_to().value);
        }),
     It("does not bring back by a peer's older news what is gone",
        [] {
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.Apply(Deleted(6, "a"), kStart);
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(6),
                                         .records = {Written(5, "a")}},
                        kStart);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) == nullptr);
        }),
     It("does not take from an older snapshot what was gone before it began",
        [] {
          // Symptom: requests reach an endpoint 3.2 s after its record was
          // deleted. Sequence: a process starts and reads the store, which
          // lacks the endpoint; a peer that is behind hands it a catalog that
          // has it; others take its catalog, which is the newest. Cause: it
          // never knew the endpoint, and so did not know it for deleted.
          EndpointCatalog started;
          started.Apply(
              EndpointSnapshot{.as_of = LogOffset(9),
                               .records = {Written(3, "b"), Written(2, "c")}},
              kStart);
          started.Apply(
              EndpointSnapshot{.as_of = LogOffset(6),
                               .records = {Written(5, "a"), Written(3, "b")}},
              kStart);
          CPPUNIT_ASSERT(started.Find(EndpointId("a")) == nullptr);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, started.size());
          started.Apply(Written(9, "d"), kStart);
          CPPUNIT_ASSERT(started.Find(EndpointId("d")) != nullptr);
        }),
     It("drops what a newer snapshot lacks",
        [] {
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(9)}, kStart);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, catalog.size());
        }),
     It("takes the record that follows a snapshot which lacked its endpoint",
        [] {
          // Symptom: requests go to an endpoint three seconds after it said
          // that it leaves. Sequence: a snapshot as of 9 lacks it; its record
          // at offset 9 says that it leaves. Cause: the deletion was given
          // the snapshot's end, 9, as its offset, and hid that record.
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(9)}, kStart);
          catalog.Apply(Written(9, "a", true), kStart);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) != nullptr);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a"))->leaving);
        }),
     It("keeps records that lapse while the store is out, for as long as they "
        "may take to come back",
        [] {
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.Apply(Written(6, "b"), kStart);
          catalog.NoteStoreLost();
          catalog.NoteStoreBack(kStart + 5s);
          catalog.Apply(Deleted(7, "a"), kStart + 5s);
          catalog.Apply(Deleted(8, "b"), kStart + 5s);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                               catalog.ForService(kService).size());
          catalog.Apply(Written(9, "a"), kStart + 6s);
          catalog.Sweep(kStart + 5s + EndpointCatalog::kLapseGrace);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) != nullptr);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("b")) == nullptr);
        }),
     It("believes a peer that has waited for lapsed records, whatever its own "
        "sight of the store",
        [] {
          // Symptom: requests reach an endpoint 3.6 s after its record was
          // deleted. Sequence: a process loses the store, finds it by its
          // peers, and loses it again, each second; a peer's snapshot lacks
          // the endpoint. Cause: each return began another wait for lapsed
          // records.
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.NoteStoreLost();
          catalog.NoteStoreBack(kStart + 1s);
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(7)}, kStart + 1s);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) != nullptr);
          catalog.Apply(
              EndpointSnapshot{.as_of = LogOffset(7), .settled = true},
              kStart + 1s);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) == nullptr);
        }),
     It("does not pass on as alive, nor claim to know, what may have lapsed",
        [] {
          // Symptom: requests reach an endpoint 3.1 s after its record was
          // deleted. Sequence: a process that waits for lapsed records hands
          // its catalog to a peer, with the deleted endpoint in it and known
          // beyond its deletion; it drops the endpoint later, and the peer,
          // which knows as far, never asks again. Cause: the entry was given
          // the deletion's offset.
          EndpointCatalog reporter;
          reporter.Apply(Written(5, "a"), kStart);
          reporter.NoteStoreLost();
          reporter.NoteStoreBack(kStart);
          reporter.Apply(Deleted(6, "a"), kStart);
          EndpointCatalog peer;
          peer.Apply(reporter.Snapshot(kStart), kStart);
          CPPUNIT_ASSERT(peer.complete_to() == LogOffset(6));
          reporter.Sweep(kStart + EndpointCatalog::kLapseGrace);
          CPPUNIT_ASSERT(reporter.changed_to() > peer.complete_to());
          peer.Apply(Deleted(6, "a"), kStart);
          CPPUNIT_ASSERT(peer.Find(EndpointId("a")) == nullptr);
        }),
     It("calls its own snapshot settled only when it has waited itself",
        [] {
          EndpointCatalog catalog;
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(1)}, kStart);
          CPPUNIT_ASSERT(!catalog.Snapshot(kStart + 2s).settled);
          CPPUNIT_ASSERT(catalog.Snapshot(kStart + 3s).settled);
          catalog.NoteStoreLost();
          CPPUNIT_ASSERT(!catalog.Snapshot(kStart + 4s).settled);
        }),
     It("believes at once that one which had said it leaves is gone", [] {
       EndpointCatalog catalog;
       catalog.Apply(Written(5, "a", true), kStart);
       catalog.NoteStoreLost();
       catalog.Apply(Deleted(6, "a"), kStart);
       CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) == nullptr);
     })});

}  // namespace
}  // namespace acacialug::gateway
