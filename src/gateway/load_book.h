#ifndef GATEWAY_LOAD_BOOK_H_
#define GATEWAY_LOAD_BOOK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "framework/global/types/identifiers.h"
#include "framework/global/types/instant.h"
#include "gateway/types/endpoint_load.h"

namespace acacialug::gateway {

// What is placed at each endpoint: by this process, exactly, and by its peers
// as they last told. Endpoints' own reports are 0.9 s old and do not have the
// work on its way to them; several entries that place by such reports all
// choose the same endpoint. Not thread safe.
class LoadBook {
 public:
  // A peer that has been silent for this long may be gone with its work. Some
  // ten lost datagrams, and under a stream's length.
  static constexpr Duration kPeerMemory = 1500ms;

  // `on_own_change`, unless empty, runs at each change of this process's own.
  explicit LoadBook(std::function<void()> on_own_change = {})
      : own_change(std::move(on_own_change)) {}

  void Add(const EndpointId& endpoint, const EndpointLoad& load);
  // Precondition: was added.
  void Remove(const EndpointId& endpoint, const EndpointLoad& load);

  // Replaces what this peer told before.
  void SetPeer(const std::string& peer, const PeerLoad& load, Instant now);
  void Sweep(Instant now);

  // All processes' work at an endpoint.
  EndpointLoad Of(const EndpointId& endpoint) const;
  // This process's only, for its peers.
  PeerLoad Own() const;
  std::size_t peers() const { return this->told.size(); }

  static std::uint64_t KeyOf(const EndpointId& endpoint);

 private:
  struct Told {
    std::map<std::uint64_t, EndpointLoad> loads;
    Instant at;
  };

  void TellChange() const;

  const std::function<void()> own_change;
  std::map<EndpointId, EndpointLoad> own;
  std::map<std::string, Told> told;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_LOAD_BOOK_H_
