#include "configuration_client/peer_manifests.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace acacialug::configuration_client {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;

}  // namespace

struct PeerManifests::Round {
  std::size_t open = 0;
  PeerManifest newest;
  std::function<void(const PeerManifest&)> on_newest;
};

std::string RenderPeerManifest(const PeerManifest& manifest) {
  return json{{"offset", manifest.offset.value}, {"text", manifest.text}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

Result<PeerManifest> ParsePeerManifest(std::string_view body) {
  const json page = json::parse(body, nullptr, false);
  if (!page.is_object() || !page.contains("offset") ||
      !page["offset"].is_number_unsigned() || !page.contains("text") ||
      !page["text"].is_string()) {
    return Error(ResultCode::kPlatformBadAnswer, "a peer's manifest");
  }
  return PeerManifest{.offset = LogOffset(page["offset"].get<std::uint64_t>()),
                      .text = page["text"].get<std::string>()};
}

PeerManifests::PeerManifests(std::vector<http::Address> peer_addresses,
                             http::Client& http_client)
    : peers(std::move(peer_addresses)), client(http_client) {}

void PeerManifests::FetchNewest(
    std::function<void(const PeerManifest& newest)> on_newest) {
  if (this->peers.empty() || std::exchange(this->fetching, true)) {
    return;
  }
  auto round = std::make_shared<Round>();
  round->open = this->peers.size();
  round->on_newest = std::move(on_newest);
  const auto finish = [this, round] {
    if (--round->open > 0) {
      return;
    }
    this->fetching = false;
    if (!round->newest.text.empty()) {
      round->on_newest(round->newest);
    }
  };
  for (const http::Address& peer : this->peers) {
    auto status = std::make_shared<int>(0);
    http::ExchangeHooks hooks;
    hooks.on_head = [status](int answered, const http::Headers&) {
      *status = answered;
    };
    hooks.on_end = [round, status, finish](const std::string& body) {
      const Result<PeerManifest> read = ParsePeerManifest(body);
      if (*status == kStatusOk && read.ok() &&
          read->offset >= round->newest.offset) {
        round->newest = *read;
      }
      finish();
    };
    hooks.on_error = [finish](const Error&, bool) { finish(); };
    this->client.Send(
        peer, {.method = "GET", .target = std::string(kPeerManifestPath)},
        std::move(hooks));
  }
}

}  // namespace acacialug::configuration_client
