#include "gateway_process/internal/catalog_page_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "framework/testing/story.h"
#include "gateway_process/tests/gateway_support.h"

namespace acacialug::gateway_process {
namespace {

using acacialug::testing::It;
using testing::KnownAt;

bool HasConfiguration(const std::string& page) {
  return ParseCatalog(page)->configuration != nullptr;
}

constexpr Instant kBegin = Instant{} + 1h;

const acacialug::testing::Story kHandout(
    "the configuration",
    {It("is handed to whoever does not tell that it knows it",
        [] {
          CatalogPageServer handout;
          CPPUNIT_ASSERT(HasConfiguration(
              handout.PageFor(KnownAt(5), LogOffset(), kBegin)));
          CPPUNIT_ASSERT(HasConfiguration(
              handout.PageFor(KnownAt(5), LogOffset(5), kBegin)));
        }),
     It("is not handed over again for a change of an endpoint",
        [] {
          // A site's configuration grew to 1,449 routes, a page to 315 KB, and
          // each start and leaving of an endpoint made every gateway ask for a
          // page. One gateway sent 7 MB a second; on links of 10 Mbit/s the
          // pages kept reservations at endpoints from being answered in time,
          // and streams broke off: 542 peer_catalog_taken, 71
          // configuration_taken.
          CatalogPageServer handout;
          const std::string page =
              handout.PageFor(KnownAt(5), LogOffset(6), kBegin);
          CPPUNIT_ASSERT(!HasConfiguration(page));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               ParseCatalog(page)->endpoints.records.size());
          CPPUNIT_ASSERT(page.size() < 1000);
        }),
     It("is rendered once for all who ask",
        [] {
          CatalogPageServer handout;
          const Catalog known = KnownAt(5);
          Instant now = kBegin;
          for (int asker = 0; asker < 20; ++asker, now += 1min) {
            CPPUNIT_ASSERT(
                HasConfiguration(handout.PageFor(known, LogOffset(), now)));
          }
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, handout.renders());
          const std::string newer =
              handout.PageFor(KnownAt(9), LogOffset(6), now);
          CPPUNIT_ASSERT_EQUAL(
              std::uint64_t{9},
              ParseCatalog(newer)->configuration->offset.value);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, handout.renders());
        }),
     It("is handed to so many at a time that half of the link is left",
        [] {
          CatalogPageServer handout;
          const Catalog known = KnownAt(5);
          const auto ask = [&](Instant now) {
            return handout.PageFor(known, LogOffset(), now);
          };
          std::size_t bytes = 0;
          for (std::size_t one = 0; one < CatalogPageServer::kMaxConcurrent;
               ++one) {
            const std::string page = ask(kBegin);
            CPPUNIT_ASSERT(HasConfiguration(page));
            bytes += page.size();
          }
          const std::string turned_away = ask(kBegin);
          CPPUNIT_ASSERT(!HasConfiguration(turned_away));
          CPPUNIT_ASSERT_EQUAL(
              std::size_t{1},
              ParseCatalog(turned_away)->endpoints.records.size());
          const Duration under_way = FromSeconds(
              static_cast<double>(bytes) / CatalogPageServer::kBytesPerSecond);
          CPPUNIT_ASSERT(!HasConfiguration(ask(kBegin + under_way / 2)));
          CPPUNIT_ASSERT(HasConfiguration(ask(kBegin + under_way + 1ms)));
        }),
     It("that is known already is not decoded again from a page", [] {
       const std::string page = RenderCatalog(KnownAt(5));
       CPPUNIT_ASSERT(ParseCatalog(page, LogOffset(5))->configuration !=
                      nullptr);
       CPPUNIT_ASSERT(ParseCatalog(page, LogOffset(6))->configuration ==
                      nullptr);
     })});

}  // namespace
}  // namespace acacialug::gateway_process
