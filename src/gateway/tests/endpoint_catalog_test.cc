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
    "the endpoint catalog",
    {It("applies changes by their offset, never backwards",
        [] {
          EndpointCatalog catalog;
          CPPUNIT_ASSERT(catalog.Apply(Written(5, "a", true), kStart));
          CPPUNIT_ASSERT(!catalog.Apply(Written(4, "a"), kStart));
          CPPUNIT_ASSERT(catalog.ForService(kService).empty());
        }),
     It("reports an endpoint that restarted under the same id, and no other",
        [] {
          std::vector<std::int64_t> started;
          EndpointCatalog catalog(
              {.on_restart = [&started](const EndpointRecord& record) {
                started.push_back(record.started_at_ms);
              }});
          const auto write = [&catalog](std::uint64_t offset,
                                        std::int64_t started_at_ms) {
            EndpointChange change = Written(offset, "a");
            change.record->started_at_ms = started_at_ms;
            catalog.Apply(change, kStart);
          };
          write(1, 0);
          write(2, 100);  // the record has a start time from here on
          write(3, 100);
          write(4, 200);
          write(3, 100);  // arrives late
          CPPUNIT_ASSERT(started == std::vector<std::int64_t>{200});
        }),
     It("does not count a heartbeat as a change",
        [] {
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          CPPUNIT_ASSERT(!catalog.Apply(Written(6, "a"), kStart));
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, catalog.changed_to().value);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, catalog.complete_to().value);
        }),
     It("does not restore a deleted endpoint from a peer's older snapshot",
        [] {
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.Apply(Deleted(6, "a"), kStart);
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(6),
                                         .records = {Written(5, "a")}},
                        kStart);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) == nullptr);
        }),
     It("does not take from an older snapshot an endpoint that was deleted "
        "before this process started",
        [] {
          // Guards against requests that reach an endpoint 3.2 s after its
          // record was deleted. A process starts and reads the store, which
          // lacks the endpoint; a peer that lags sends it a catalog that has
          // the endpoint; others take its catalog, which is the newest. It
          // comes about when the process never knew the endpoint, and so does
          // not know of its deletion.
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
     It("drops an endpoint that a newer snapshot lacks",
        [] {
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(9)}, kStart);
          CPPUNIT_ASSERT_EQUAL(std::size_t{0}, catalog.size());
        }),
     It("applies the record that follows a snapshot without its endpoint",
        [] {
          // Guards against requests that go to an endpoint three seconds after
          // it reported that it leaves. A snapshot as of 9 lacks the endpoint;
          // its record at offset 9 has it leaving. It comes about when the
          // deletion gets the snapshot's end, 9, as its offset, and hides that
          // record.
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(9)}, kStart);
          catalog.Apply(Written(9, "a", true), kStart);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) != nullptr);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a"))->leaving);
        }),
     It("keeps records that lapse during a store outage, for as long as their "
        "return may take",
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
     It("takes no failed call for an outage while the store was seen to serve "
        "a moment before",
        [] {
          // Guards against requests at an endpoint whose record was removed,
          // after a call of the store failed by chance.
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.NoteStoreServed(kStart, kStart);
          catalog.NoteStoreLost();
          catalog.NoteStoreBack(kStart + 600ms);
          catalog.Apply(Deleted(6, "a"), kStart + 600ms);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) == nullptr);
        }),
     It("takes the deletion of a record that was renewed a moment before for "
        "its endpoint's end, after an outage too",
        [] {
          // Guards against requests at an endpoint whose record was removed,
          // after two calls of the store in a row were lost.
          for (const bool renewed : {true, false}) {
            EndpointCatalog catalog;
            catalog.NoteStoreRead(kStart);
            catalog.NoteStoreServed(kStart, kStart);
            catalog.Apply(Written(5, "a"), kStart);
            catalog.NoteStoreLost();
            catalog.NoteStoreBack(kStart + 4s);
            if (renewed) {
              catalog.NoteStoreRead(kStart + 4s);
              catalog.Apply(Written(6, "a"), kStart + 4500ms);
            }
            catalog.Apply(Deleted(7, "a"), kStart + 5s);
            CPPUNIT_ASSERT_EQUAL(!renewed,
                                 catalog.Find(EndpointId("a")) != nullptr);
          }
        }),
     It("judges by the interval at which endpoints renew their records",
        [] {
          // Guards against endpoints that renew seldom and are taken for ended
          // when their records lapse; and against those that renew often and
          // are waited for when they have left.
          for (const Duration interval : {400ms, 3000ms}) {
            EndpointCatalog catalog;
            Instant now = kStart;
            std::uint64_t offset = 1;
            for (int read = 0; read < 600; ++read, now += 200ms) {
              if ((now - kStart) % interval == Duration::zero()) {
                catalog.Apply(Written(offset++, "a"), now);
              }
              catalog.NoteStoreRead(now);
              catalog.NoteStoreServed(now, now);
            }
            catalog.NoteStoreLost();
            catalog.NoteStoreBack(now + 2s);
            catalog.Apply(Deleted(offset, "a"), now + 2s);
            CPPUNIT_ASSERT_EQUAL(interval == Duration(400ms),
                                 catalog.Find(EndpointId("a")) != nullptr);
          }
        }),
     It("waits after an outage that a peer has seen the end of",
        [] {
          // Guards against endpoints that are taken for ended since their
          // records lapsed in an outage, at a gateway whose peers were first
          // to read the store again.
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.NoteStoreServed(kStart, kStart);
          catalog.NoteStoreLost();
          catalog.NoteStoreServed(kStart + 5s, kStart + 5s);
          catalog.NoteStoreBack(kStart + 5100ms);
          catalog.Apply(Deleted(6, "a"), kStart + 5100ms);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) != nullptr);
        }),
     It("ends the wait for a lapsed record in its time, whatever fails later",
        [] {
          // Guards against requests at an endpoint whose record was removed,
          // for as long as calls of the store fail now and then.
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.NoteStoreLost();
          catalog.NoteStoreBack(kStart + 5s);
          catalog.Apply(Deleted(6, "a"), kStart + 5s);
          for (Instant now = kStart + 6s; now < kStart + 8s; now += 500ms) {
            CPPUNIT_ASSERT(now >= kStart + 5s + EndpointCatalog::kLapseGrace ||
                           catalog.Find(EndpointId("a")) != nullptr);
            catalog.NoteStoreLost();
            catalog.Sweep(now);
            catalog.NoteStoreBack(now);
            catalog.Sweep(now);
          }
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) == nullptr);
        }),
     It("accepts the snapshot of a peer that has waited for lapsed records, "
        "whatever its own connection to the store",
        [] {
          // Guards against requests that reach an endpoint 3.6 s after its
          // record was deleted. Each second a process loses the store, regains
          // it through its peers, and loses it again; a peer's snapshot lacks
          // the endpoint. It comes about when each return of the store starts
          // another wait for lapsed records.
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
     It("takes no endpoint for ended that a partial snapshot lacks, and claims "
        "nothing by it until it has a whole one",
        [] {
          // Guards against endpoints that are lost, here or at peers, since a
          // record could not be read.
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(8),
                                         .settled = true,
                                         .partial = true,
                                         .records = {Written(7, "b")}},
                        kStart);
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, catalog.size());
          catalog.Apply(Written(9, "c"), kStart);
          CPPUNIT_ASSERT(catalog.complete_to() == LogOffset());
          CPPUNIT_ASSERT(catalog.Snapshot(kStart).as_of == LogOffset());
          // A peer that is behind may list an endpoint that has ended since.
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(6),
                                         .settled = true,
                                         .records = {Written(5, "a")}},
                        kStart);
          CPPUNIT_ASSERT(catalog.complete_to() == LogOffset());
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(8),
                                         .settled = true,
                                         .records = {Written(7, "b")}},
                        kStart);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) == nullptr);
          CPPUNIT_ASSERT(catalog.Find(EndpointId("c")) != nullptr);
          CPPUNIT_ASSERT(catalog.complete_to() == LogOffset(10));
        }),
     It("neither reports a record that may have lapsed as live, nor claims to "
        "know its state",
        [] {
          // Guards against requests that reach an endpoint 3.1 s after its
          // record was deleted. A process that waits for lapsed records sends
          // its catalog to a peer, with the deleted endpoint in it and complete
          // beyond its deletion. The process drops the endpoint later; the
          // peer, which is complete to the same offset, never requests the
          // catalog again. It comes about when the entry gets the deletion's
          // offset.
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
     It("learns of later changes from a peer that holds a record back",
        [] {
          // Guards against requests at an endpoint whose record says that it
          // drains, while a peer waits for the record of another one.
          EndpointCatalog reader;
          reader.Apply(Written(5, "a"), kStart);
          reader.Apply(Written(6, "b"), kStart);
          reader.Apply(Written(7, "c"), kStart);
          reader.NoteStoreLost();
          reader.NoteStoreBack(kStart + 5s);
          reader.Apply(Deleted(8, "a"), kStart + 5s);
          EndpointCatalog peer;
          const auto fetch = [&reader, &peer](Instant now) {
            return peer.Apply(reader.Snapshot(now, peer.complete_to()), now);
          };
          fetch(kStart + 5s);
          reader.Apply(Written(9, "b", true), kStart + 5s);
          CPPUNIT_ASSERT(fetch(kStart + 5s));
          CPPUNIT_ASSERT(peer.Leaves(EndpointId("b")));
          CPPUNIT_ASSERT(peer.Find(EndpointId("a")) != nullptr);
          CPPUNIT_ASSERT(peer.complete_to() == LogOffset(8));
          reader.Sweep(kStart + 8s);
          CPPUNIT_ASSERT(fetch(kStart + 8s));
          CPPUNIT_ASSERT(peer.Find(EndpointId("a")) == nullptr);
          CPPUNIT_ASSERT(peer.complete_to() == reader.complete_to());
        }),
     It("marks its own snapshot as settled only after its own wait",
        [] {
          EndpointCatalog catalog;
          catalog.Apply(EndpointSnapshot{.as_of = LogOffset(1)}, kStart);
          CPPUNIT_ASSERT(!catalog.Snapshot(kStart + 2s).settled);
          CPPUNIT_ASSERT(catalog.Snapshot(kStart + 3s).settled);
          catalog.NoteStoreLost();
          CPPUNIT_ASSERT(!catalog.Snapshot(kStart + 4s).settled);
        }),
     It("keeps what an endpoint's answer says, against older and late records",
        [] {
          // Guards against requests at an endpoint that leaves while the store
          // is out: its record goes on to say that it is ready.
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          CPPUNIT_ASSERT(catalog.NoteDeparture(EndpointId("a"), kStart));
          CPPUNIT_ASSERT(!catalog.NoteDeparture(EndpointId("a"), kStart));
          CPPUNIT_ASSERT(catalog.ForService(kService).empty());
          catalog.Apply(Written(6, "a"), kStart + 20s);
          catalog.Sweep(kStart + 20s);
          CPPUNIT_ASSERT(catalog.ForService(kService).empty());
        }),
     It("believes a record that says for long after the answer that it stays",
        [] {
          constexpr Instant kLater = kStart + EndpointCatalog::kDepartureMemory;
          EndpointCatalog catalog;
          catalog.Apply(Written(5, "a"), kStart);
          catalog.NoteDeparture(EndpointId("a"), kStart);
          catalog.Sweep(kLater);
          CPPUNIT_ASSERT(catalog.ForService(kService).empty());
          catalog.NoteStoreLost();
          catalog.Apply(Written(6, "a"), kLater);
          CPPUNIT_ASSERT(catalog.ForService(kService).empty());
          catalog.NoteStoreBack(kLater);
          catalog.Apply(Written(7, "a"), kLater + EndpointCatalog::kLapseGrace);
          CPPUNIT_ASSERT(catalog.ForService(kService).size() == 1);
        }),
     It("ends a departure with the endpoint's restart under its id",
        [] {
          EndpointCatalog catalog;
          for (const std::int64_t started_at_ms : {100, 200}) {
            EndpointChange change =
                Written(static_cast<std::uint64_t>(started_at_ms), "a");
            change.record->started_at_ms = started_at_ms;
            catalog.Apply(change, kStart);
            CPPUNIT_ASSERT(catalog.ForService(kService).size() == 1);
            catalog.NoteDeparture(EndpointId("a"), kStart);
            CPPUNIT_ASSERT(catalog.ForService(kService).empty());
          }
        }),
     It("keeps a departure while the record has lapsed, and not for ever",
        [] {
          EndpointCatalog catalog;
          catalog.NoteDeparture(EndpointId("a"), kStart);
          catalog.Sweep(kStart + 5s);
          catalog.Apply(Written(5, "a"), kStart + 5s);
          CPPUNIT_ASSERT(catalog.Leaves(EndpointId("a")));
          catalog.Apply(Deleted(6, "a"), kStart + 6s);
          catalog.Sweep(kStart + EndpointCatalog::kDepartureMemory);
          CPPUNIT_ASSERT(!catalog.Leaves(EndpointId("a")));
        }),
     It("reports the steps of a departure, and what is known of it",
        [] {
          std::vector<Departure> steps;
          EndpointCatalog catalog(
              {.on_departure = [&steps](const Departure& departure) {
                steps.push_back(departure);
              }});
          catalog.NoteStoreRead(kStart);
          catalog.NoteStoreServed(kStart, kStart);
          catalog.Apply(Written(5, "a"), kStart + 1s);
          catalog.Apply(Written(6, "b", true), kStart + 1s);
          catalog.NoteStoreLost();
          catalog.Apply(Deleted(7, "a"), kStart + 6s);
          catalog.NoteStoreBack(kStart + 7s);
          catalog.Sweep(kStart + 7s + EndpointCatalog::kLapseGrace);
          CPPUNIT_ASSERT_EQUAL(std::size_t{3}, steps.size());
          CPPUNIT_ASSERT(steps[0].step == DepartureStep::kDraining);
          CPPUNIT_ASSERT(steps[0].id == EndpointId("b"));
          CPPUNIT_ASSERT(steps[1].step == DepartureStep::kHeldBack);
          CPPUNIT_ASSERT(steps[1].silence == Duration(6s));
          CPPUNIT_ASSERT(steps[1].unserved == Duration(6s));
          CPPUNIT_ASSERT(steps[2].step == DepartureStep::kEnded);
          CPPUNIT_ASSERT(steps[2].held == 1s + EndpointCatalog::kLapseGrace);
        }),
     It("accepts the deletion of a leaving endpoint at once", [] {
       EndpointCatalog catalog;
       catalog.Apply(Written(5, "a", true), kStart);
       catalog.NoteStoreLost();
       catalog.Apply(Deleted(6, "a"), kStart);
       CPPUNIT_ASSERT(catalog.Find(EndpointId("a")) == nullptr);
     })});

}  // namespace
}  // namespace acacialug::gateway
