#ifndef CONTROL_SCRAPER_H_
#define CONTROL_SCRAPER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "framework/global/types/instant.h"
#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::control {

// One request to a process's operations port.
struct NodeQuestion {
  http::Address address;
  std::string method = "GET";
  std::string path;
  std::string body;  // JSON, of POST only
};

// What came back. Errors: kNodeUnreachable (no answer in time), kNodeBadAnswer
// (more bytes than allowed). A status other than 2xx is an answer too.
struct NodeAnswer {
  http::Address address;
  Result<http::Response> response;
};

struct AskOptions {
  Duration timeout = 5s;  // of all answers together
  std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;
  // Gets how many are done; may be empty.
  std::function<void(std::size_t done)> on_progress;
};

// Asks all at once, by Qt's network access, and returns when every one has
// answered or the timeout is over; answers stand in the order of the
// questions. Redirects are not followed. Needs a QCoreApplication; runs its
// event loop meanwhile. One thread.
std::vector<NodeAnswer> AskNodes(const std::vector<NodeQuestion>& questions,
                                 const AskOptions& options);

// One process's answer.
struct ScrapedPage {
  http::Address address;
  // The errors of NodeAnswer; kNodeBadAnswer for a status other than 200.
  Result<std::string> body;
};

// AskNodes for one page of each address, with its default bound on bytes.
std::vector<ScrapedPage> Scrape(
    const std::vector<http::Address>& addresses,
    const std::string& path,
    Duration timeout,
    const std::function<void(std::size_t done)>& on_progress);

}  // namespace acacialug::control

#endif  // CONTROL_SCRAPER_H_
