#ifndef CLUSTER_HTTP_HOST_LIST_H_
#define CLUSTER_HTTP_HOST_LIST_H_

#include <functional>
#include <vector>

#include "cluster/i_host_list.h"
#include "framework/http/http_client.h"

namespace acacialug::cluster {

// The platform's host list over HTTP: GET /hosts answers
// {"hosts": [{"host": "...", "state": "live" or "leaving"}]}. One thread,
// that of `client`, which must outlive this.
class HttpHostList : public IHostList {
 public:
  HttpHostList(http::Address list_address, http::Client& http_client);

  // Omits hosts of an unknown state: nothing can be concluded from them.
  void Read(
      std::function<void(Result<std::vector<HostRecord>>)> on_done) override;

 private:
  http::Address address;
  http::Client& client;
};

}  // namespace acacialug::cluster

#endif  // CLUSTER_HTTP_HOST_LIST_H_
