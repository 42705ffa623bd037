#include "gateway_process/internal/catalog_sources.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/testing/story.h"

namespace acacialug::gateway_process {
namespace {

using acacialug::testing::It;

constexpr Instant kNow{1h};

CatalogPositions At(std::uint64_t configuration,
                    std::uint64_t endpoints,
                    std::uint64_t endpoints_in_effect = 0) {
  return {.configuration = NextVersion(configuration),
          .endpoints = LogOffset(endpoints),
          .endpoints_in_effect = LogOffset(endpoints_in_effect)};
}

const acacialug::testing::Story kStory(
    "the peers' reports of what they know",
    {It("tell whether this process is the first to know something",
        [] {
          // Guards against 300 gateways that each tell 299 others of every
          // change: more bytes than callers' requests take.
          CatalogSources sources("a");
          CPPUNIT_ASSERT(!sources.AnyKnows(At(6, 10)));
          sources.OnReport("b", At(6, 9), kNow);
          sources.OnReport("c", At(5, 12), kNow);
          CPPUNIT_ASSERT(!sources.AnyKnows(At(6, 10)));
          CPPUNIT_ASSERT(sources.AnyKnows(At(6, 9)));
          CPPUNIT_ASSERT(!sources.AnyKnows(At(6, 9, 8)));
          sources.OnReport("c", At(6, 12), kNow);
          CPPUNIT_ASSERT(sources.AnyKnows(At(6, 10)));
        }),
     It("are asked for again once the peer knows more than what it left open",
        [] {
          // Guards against requests at an endpoint that drains, at a gateway
          // whose peers wait for the record of another endpoint.
          CatalogSources sources("a");
          sources.SetStoreServes(true);
          sources.SetKnown(At(6, 9), kNow);
          sources.OnReport("b", At(6, 12), kNow);
          const auto request = sources.Next(kNow);
          CPPUNIT_ASSERT(request.has_value());
          sources.NoteAnswered(*request, false, kNow);
          CPPUNIT_ASSERT(!sources.Next(kNow).has_value());
          CPPUNIT_ASSERT(!sources.AnyKnowsMore(kNow));
          sources.OnReport("b", At(6, 13), kNow);
          CPPUNIT_ASSERT(sources.Next(kNow).has_value());
          CPPUNIT_ASSERT(sources.AnyKnowsMore(kNow));
        }),
     It("are asked for again once what the peer left open is in effect with it",
        [] {
          // Guards against requests at an endpoint that left, at a gateway
          // whose peers held back the end of its record.
          CatalogSources sources("a");
          sources.SetStoreServes(true);
          sources.SetKnown(At(6, 9), kNow);
          sources.OnReport("b", At(6, 12, 9), kNow);
          sources.NoteAnswered(*sources.Next(kNow), false, kNow);
          sources.OnReport("b", At(6, 12, 9), kNow);
          CPPUNIT_ASSERT(!sources.Next(kNow).has_value());
          sources.OnReport("b", At(6, 12, 12), kNow);
          CPPUNIT_ASSERT(sources.AnyKnowsMore(kNow));
          CPPUNIT_ASSERT(sources.Next(kNow).has_value());
          sources.NoteAnswered(*sources.Next(kNow), false, kNow);
          CPPUNIT_ASSERT(!sources.Next(kNow).has_value());
        }),
     It("are asked for again also if the peer held it back while it answered",
        [] {
          CatalogSources sources("a");
          sources.SetKnown(At(6, 9), kNow);
          sources.OnReport("b", At(6, 12, 12), kNow);
          sources.NoteAnswered(*sources.Next(kNow), false, kNow);
          sources.OnReport("b", At(6, 12, 9), kNow);
          CPPUNIT_ASSERT(!sources.AnyKnowsMore(kNow));
          sources.OnReport("b", At(6, 12, 12), kNow);
          CPPUNIT_ASSERT(sources.AnyKnowsMore(kNow));
        }),
     It("say that the peer knows more, though it does not answer",
        [] {
          // Guards against requests at an endpoint that left, at a gateway that
          // leaves reading the store to peers whose pages it can't get.
          CatalogSources sources("a");
          sources.SetStoreServes(true);
          sources.SetKnown(At(6, 9), kNow);
          sources.OnReport("b", At(6, 12), kNow);
          sources.NoteFailed(*sources.Next(kNow), kNow);
          CPPUNIT_ASSERT(!sources.Next(kNow).has_value());
          CPPUNIT_ASSERT(sources.AnyKnowsMore(kNow));
        }),
     It("count for as long as the peer is live", [] {
       CatalogSources sources("a");
       sources.OnReport("b", At(6, 10), kNow);
       sources.NoteLost("b");
       CPPUNIT_ASSERT(!sources.AnyKnows(At(6, 10)));
     })});

}  // namespace
}  // namespace acacialug::gateway_process
