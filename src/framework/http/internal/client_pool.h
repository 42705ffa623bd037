#ifndef FRAMEWORK_HTTP_INTERNAL_CLIENT_POOL_H_
#define FRAMEWORK_HTTP_INTERNAL_CLIENT_POOL_H_

#include <map>
#include <vector>

#include "framework/http/http_types.h"
#include "framework/http/internal/client_connection.h"

namespace acacialug::http {

// Idle connections kept for reuse, the latest first. Owns what it keeps.
// Lives on the client's thread.
class ClientPool {
 public:
  explicit ClientPool(std::size_t max_idle_per_address);
  ~ClientPool();

  // A connection that the server has not closed; null if there is none.
  ClientConnection* Take(const Address& address);

  // Closes the connection if the address has enough of them.
  void Keep(ClientConnection* connection);

  // Closes a connection, whether kept or not.
  void Drop(ClientConnection* connection);

  // Closes what has been idle for as long as it may be.
  void DropExpired(Instant now);

  // Closes all that is kept for an address.
  void DropAll(const Address& address);

  bool empty() const { return this->idle.empty(); }

 private:
  const std::size_t max_idle;
  std::map<Address, std::vector<ClientConnection*>> idle;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_CLIENT_POOL_H_
