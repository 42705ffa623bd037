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
struct NodeRequest {
  http::Address address;
  std::string method = "GET";
  std::string path;
  std::string body;  // JSON, of POST only
};

// The outcome of one request. Errors: kNodeUnreachable (no answer in time),
// kNodeBadAnswer (more bytes than allowed). A status other than 2xx is an
// answer too.
struct NodeAnswer {
  http::Address address;
  Result<http::Response> response;
};

struct QueryOptions {
  Duration timeout = 5s;  // of all answers together
  std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;
  // Called with the number of finished requests; may be empty.
  std::function<void(std::size_t done)> on_progress;
};

// Sends all requests at once by Qt's network access. Returns when every process
// has answered or the timeout has elapsed; the answers are in the order of the
// requests. Redirects are not followed. Needs a QCoreApplication; runs its
// event loop meanwhile. One thread.
std::vector<NodeAnswer> QueryNodes(
    const std::vector<NodeRequest>& node_requests,
    const QueryOptions& options);

// One process's answer.
struct ScrapedPage {
  http::Address address;
  // The errors of NodeAnswer; kNodeBadAnswer for a status other than 200.
  Result<std::string> body;
};

// Fetches one page of each address, with the default limit of bytes.
std::vector<ScrapedPage> Scrape(
    const std::vector<http::Address>& addresses,
    const std::string& path,
    Duration timeout,
    const std::function<void(std::size_t done)>& on_progress);

}  // namespace acacialug::control

#endif  // CONTROL_SCRAPER_H_
