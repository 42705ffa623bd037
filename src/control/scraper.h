#ifndef CONTROL_SCRAPER_H_
#define CONTROL_SCRAPER_H_

#include <functional>
#include <string>
#include <vector>

#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::control {

// One process's answer.
struct ScrapedPage {
  http::Address address;
  Result<std::string> body;  // kPlatformUnavailable: no answer in time
};

// Asks all addresses for `path` at once, by Qt's network access, and returns
// when every one has answered or `timeout` is over; answers stand in the order
// of `addresses`. `on_progress` (may be empty) gets how many are done. Needs a
// QCoreApplication; runs its event loop meanwhile. One thread.
std::vector<ScrapedPage> Scrape(
    const std::vector<http::Address>& addresses,
    const std::string& path,
    Duration timeout,
    const std::function<void(std::size_t done)>& on_progress);

}  // namespace acacialug::control

#endif  // CONTROL_SCRAPER_H_
