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

const acacialug::testing::Story kPageServer(
    "the configuration",
    {It("is sent to each peer that does not report knowing it",
        [] {
          CatalogPageServer page_server;
          CPPUNIT_ASSERT(HasConfiguration(
              page_server.PageFor(KnownAt(5), NextVersion(), kBegin)));
          CPPUNIT_ASSERT(HasConfiguration(
              page_server.PageFor(KnownAt(5), NextVersion(5), kBegin)));
        }),
     It("is not sent again for a change of an endpoint",
        [] {
          // A site's configuration grew to 1,449 routes, a page to 315 KB, and
          // each start and departure of an endpoint made every gateway request
          // a page. One gateway sent 7 MB a second; on links of 10 Mbit/s the
          // pages delayed the answers to reservations at endpoints, and streams
          // broke off: 542 peer_catalog_taken, 71 configuration_taken.
          CatalogPageServer page_server;
          const std::string page =
              page_server.PageFor(KnownAt(5), NextVersion(6), kBegin);
          CPPUNIT_ASSERT(!HasConfiguration(page));
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               ParseCatalog(page)->endpoints.records.size());
          CPPUNIT_ASSERT(page.size() < 1000);
        }),
     It("is rendered once for all requests",
        [] {
          CatalogPageServer page_server;
          const Catalog known = KnownAt(5);
          Instant now = kBegin;
          for (int request = 0; request < 20; ++request, now += 1min) {
            CPPUNIT_ASSERT(HasConfiguration(
                page_server.PageFor(known, NextVersion(), now)));
          }
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, page_server.renders());
          const std::string newer =
              page_server.PageFor(KnownAt(9), NextVersion(6), now);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                               ParseCatalog(newer)->configuration->version);
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, page_server.renders());
        }),
     It("is sent to few enough peers at a time to leave half of the link",
        [] {
          CatalogPageServer page_server;
          const Catalog known = KnownAt(5);
          const auto request_page = [&](Instant now) {
            return page_server.PageFor(known, NextVersion(), now);
          };
          std::size_t bytes = 0;
          for (std::size_t one = 0; one < CatalogPageServer::kMaxConcurrent;
               ++one) {
            const std::string page = request_page(kBegin);
            CPPUNIT_ASSERT(HasConfiguration(page));
            bytes += page.size();
          }
          const std::string without_configuration = request_page(kBegin);
          CPPUNIT_ASSERT(!HasConfiguration(without_configuration));
          CPPUNIT_ASSERT_EQUAL(
              std::size_t{1},
              ParseCatalog(without_configuration)->endpoints.records.size());
          const Duration under_way = FromSeconds(
              static_cast<double>(bytes) / CatalogPageServer::kBytesPerSecond);
          CPPUNIT_ASSERT(
              !HasConfiguration(request_page(kBegin + under_way / 2)));
          CPPUNIT_ASSERT(
              HasConfiguration(request_page(kBegin + under_way + 1ms)));
        }),
     It("that is known already is not decoded again from a page", [] {
       const std::string page = RenderCatalog(KnownAt(5));
       CPPUNIT_ASSERT(ParseCatalog(page, NextVersion(5))->configuration !=
                      nullptr);
       CPPUNIT_ASSERT(ParseCatalog(page, NextVersion(6))->configuration ==
                      nullptr);
     })});

}  // namespace
}  // namespace acacialug::gateway_process
