#ifndef SCENARIO_INTERNAL_MANIFEST_FEED_H_
#define SCENARIO_INTERNAL_MANIFEST_FEED_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>

#include "configuration/configuration_follower.h"
#include "scenario/internal/event_queue.h"
#include "scenario/internal/platform_log.h"

namespace acacialug::scenario {

inline constexpr char kConfigurationStream[] = "configuration";
inline constexpr Duration kPeerRoundTrip = 1ms;

struct PeerManifest {
  LogOffset offset;
  std::string text;
};

// The configuration of one process: its follower, with the follower's requests
// to the log and to peers. Not thread safe.
class ManifestFeed {
 public:
  struct Hooks {
    // Returns a function that runs tasks in the process while it is alive.
    std::function<std::function<void(std::function<void()>)>()> later;
    std::function<void(const configuration::AcceptedManifest&)> put_in_force;
    // The text of a manifest of that offset or a later one, from another live
    // process; empty if none has one.
    std::function<PeerManifest(LogOffset)> query_peer;
  };

  ManifestFeed(configuration::FollowerOptions options,
               std::uint64_t seed,
               EventQueue& event_queue,
               PlatformLog& platform_log,
               Hooks feed_hooks)
      : queue(event_queue),
        log(platform_log),
        hooks(std::move(feed_hooks)),
        random(seed),
        state(std::move(options), this->random) {}

  configuration::ConfigurationFollower& follower() { return this->state; }
  const configuration::ConfigurationFollower& follower() const {
    return this->state;
  }

  // Executes the actions that the follower requests.
  void Pump() {
    for (const auto& action : this->state.TakeActions()) {
      std::visit([this](const auto& typed) { this->Run(typed); }, action);
    }
  }

 private:
  void Run(const configuration::ReadStream& read) {
    this->log.ReadFrom(
        kConfigurationStream, read.from, read.wait,
        [this, later = this->hooks.later()](
            const Result<cluster::ILog::Read>& result) {
          later([=, this] { this->state.OnRead(result, this->queue.now()); });
        });
  }
  void Run(const configuration::AppendCheckpoint& checkpoint) {
    this->log.Append(kConfigurationStream, checkpoint.payload,
                     [](const Result<LogOffset>&) {});
  }
  void Run(const configuration::ActivateManifest& forced) {
    this->hooks.put_in_force(forced.accepted);
  }
  void Run(const configuration::FetchFromPeer& ask) {
    this->queue.After(
        kPeerRoundTrip, [this, offset = ask.offset, later = this->hooks.later(),
                         query_peer = this->hooks.query_peer] {
          const PeerManifest peer = query_peer(offset);
          if (!peer.text.empty()) {
            later([this, peer] {
              // A manifest that is not newer than the active one is not an
              // error here.
              (void)this->state.OnPeerManifest(peer.offset, peer.text);
            });
          }
        });
  }

  EventQueue& queue;
  PlatformLog& log;
  Hooks hooks;
  RandomSource random;
  configuration::ConfigurationFollower state;
};

}  // namespace acacialug::scenario

#endif  // SCENARIO_INTERNAL_MANIFEST_FEED_H_
