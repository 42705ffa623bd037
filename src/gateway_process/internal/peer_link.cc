#include "gateway_process/peer_link.h"

#include <QTimer>
#include <algorithm>
#include <compare>
#include <optional>
#include <utility>
#include <vector>

#include "framework/http/http_client.h"
#include "framework/http/http_server.h"
#include "framework/log/log.h"
#include "framework/net/datagram_socket.h"
#include "gateway_process/internal/catalog_handout.h"
#include "placement/types/hashing.h"
#include "protocol/message_codec.h"

namespace acacialug::gateway_process {
namespace {

// Without a change peers hear this often that a process lives. A third of the
// time for which its load is remembered.
constexpr Duration kKeepAlive = 400ms;
// Between two datagrams to the same peer, for up to kNearPeers peers; with
// more it grows with them, so that what a process sends stays the same.
constexpr Duration kLeastInterval = 20ms;
constexpr std::size_t kNearPeers = 5;
// A peer that was not heard for this long is not counted as one.
constexpr Duration kPeerMemory = 2s;
// One that was heard in this time still takes its part of what all share: a
// process that is cut off from the others must not take theirs.
constexpr Duration kKnownMemory = 60s;
// One that was never heard, or not for long, is tried this often.
constexpr Duration kRetryInterval = 2s;
// A peer that has not answered in this time has gone silent.
constexpr Duration kFetchSilence = 700ms;
constexpr Duration kFetchInterval = 250ms;
constexpr std::size_t kMaxCatalogBytes = std::size_t{16} * 1024 * 1024;
// Processes that read the store in any case: one may be cut off or frozen
// without a sign, and the other is heard meanwhile.
constexpr std::size_t kReaders = 2;
// A read that is older, or a peer that was not heard for so long, does not
// spare one's own: a configuration must be in force within two seconds.
constexpr Duration kFreshRead = 800ms;
constexpr Duration kReaderMemory = 900ms;
// While the store serves this process, a newer configuration is left to it for
// this long: its link is wide, a gateway's is not, and one page for each peer
// went over the link of one. A store that works has brought it by then, also to
// a process that reads only when it is told (200 ms) and has a twelfth of a
// core to decode it (0.1 s); and then there is time left for two peers.
constexpr Duration kStoreFirst = 500ms;
// A peer that hands its configuration to others now is asked for it after this.
constexpr Duration kTurnedAwayPause = 250ms;
constexpr std::int64_t kNeverReadMs = 1'000'000;
// Between two forecasts to the peers: a keep-alive's time.
constexpr Duration kForecastInterval = kKeepAlive;
constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::chrono::milliseconds Milliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

struct Peer {
  http::Address address;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::uint16_t pages_port = 0;
  LogOffset configuration;
  LogOffset endpoints;
  Instant heard_at{};
  Instant told_at{};
  Instant read_at{};
  Instant passed_over_until{};  // it did not answer as a peer does
  Instant open_until{};         // its endpoints leave open what it tells of
  Instant turned_away_until{};  // it handed its configuration to others
  bool heard = false;
};

// What a peer can hand over that this process does not know, greater for a
// better peer. Of those that offer the same each process asks another: all
// would ask the first, and choke its link.
struct Offer {
  LogOffset configuration;  // zero: none that is to be asked for
  LogOffset endpoints;      // zero: none
  std::uint64_t weight = 0;

  bool empty() const {
    return this->configuration == LogOffset() && this->endpoints == LogOffset();
  }
  friend auto operator<=>(const Offer&, const Offer&) = default;
};

// What a peer was asked, and how far it knew by its own word.
struct Question {
  std::string peer;
  http::Address pages;
  LogOffset known_configuration;  // as told to it
  LogOffset configuration;
  LogOffset endpoints;
};

}  // namespace

class PeerLink::Implementation {
 public:
  explicit Implementation(Options link_options)
      : options(std::move(link_options)),
        own_hash(placement::HashText(this->options.id)),
        socket(
            {.on_datagram =
                 [this](std::string_view datagram, const http::Address& from) {
                   this->OnDatagram(datagram, from);
                 }}),
        client({.connect_timeout = kFetchSilence,
                .silence_timeout = kFetchSilence,
                .max_body_bytes = kMaxCatalogBytes}),
        pages(std::make_unique<http::Server>(http::ServerOptions{
            .listen = this->options.listen,
            .limits = {.max_body_bytes = 1024, .max_connections = 256},
            .make_handler =
                [this](int /*shard*/) {
                  return [this](const http::Request& request,
                                const http::ResponderPtr& responder) {
                    this->ShowPage(request, *responder);
                  };
                },
            .render_error =
                [](int status, const Error&) {
                  return http::Response{status};
                }})) {
    QObject::connect(&this->keep_alive, &QTimer::timeout,
                     [this] { this->OnKeepAlive(); });
    this->change.setSingleShot(true);
    QObject::connect(&this->change, &QTimer::timeout,
                     [this] { this->TellAll(); });
  }

  Status Start() {
    if (Status bound = this->socket.Bind(this->options.listen); !bound) {
      return bound;
    }
    if (Status listening = this->pages->Start(); !listening) {
      return listening;
    }
    this->keep_alive.start(Milliseconds(kKeepAlive));
    return Success();
  }

  void SetMembers(const std::map<std::string, http::Address>& members) {
    for (const auto& [id, address] : members) {
      if (id == this->options.id) {
        continue;
      }
      Peer& peer = this->peers[id];
      if (!peer.heard || peer.address.port == 0) {
        peer.address = address;
      }
    }
    this->TellAll();
  }

  void OnLoadChanged() {
    if (this->change.isActive()) {
      return;
    }
    const Duration since = this->options.now() - this->last_told;
    this->change.start(
        Milliseconds(std::max(Duration::zero(), this->Interval() - since)));
  }

  void SetPositions(const Positions& newest) {
    const bool news = newest.configuration > this->known.configuration ||
                      newest.changed_to > this->known.changed_to;
    if (newest.configuration > this->known.configuration) {
      this->behind_since.reset();
    }
    this->known = newest;
    this->NoteBehind();
    if (news) {
      this->TellAll();
    }
  }

  void NoteStoreRead() { this->read_at = this->options.now(); }

  void SetStoreServes(bool serves) { this->store_serves = serves; }

  bool PeersReadStore() {
    this->socket.ReadPending();
    const Instant now = this->options.now();
    std::size_t readers_before = 0;
    bool fresh = false;
    for (const auto& [id, peer] : this->peers) {
      // What a peer knows and has not handed over yet is read here as well: it
      // may be gone, or out of reach, before it does.
      if (this->HasNewerConfiguration(peer, now) ||
          this->HasNewerEndpoints(peer, now)) {
        return false;
      }
      if (!peer.heard || now - peer.heard_at > kReaderMemory) {
        continue;
      }
      readers_before += id < this->options.id ? 1 : 0;
      fresh = fresh || now - peer.read_at < kFreshRead;
    }
    return readers_before >= kReaders && fresh;
  }

 private:
  Duration Interval() const {
    const std::size_t far =
        std::max<std::size_t>(this->peers.size(), kNearPeers);
    return kLeastInterval * static_cast<std::int64_t>(far) /
           static_cast<std::int64_t>(kNearPeers);
  }

  void TellAll() {
    this->last_told = this->options.now();
    const std::string datagram = this->MakeHeartbeat();
    for (auto& [id, peer] : this->peers) {
      const bool lives =
          peer.heard && this->last_told - peer.heard_at < kPeerMemory;
      if (lives || this->last_told - peer.told_at >= kRetryInterval) {
        peer.told_at = this->last_told;
        this->socket.Send(datagram, peer.address);
      }
    }
  }

  std::string MakeHeartbeat() {
    protocol::PeerHeartbeat heartbeat{
        .sender = this->options.id,
        .incarnation = this->options.incarnation,
        .sequence = ++this->sequence,
        .pages_port = this->pages->port(),
        .configuration = this->known.configuration,
        .endpoints = this->known.changed_to,
        .read_age_ms = this->ReadAge()};
    gateway::PeerLoad load = this->options.own_load();
    if (load.rows.size() > protocol::kMaxPeerHeartbeatRows) {
      // The largest loads matter most; the rest is told by placing elsewhere.
      std::partial_sort(
          load.rows.begin(),
          load.rows.begin() + protocol::kMaxPeerHeartbeatRows, load.rows.end(),
          [](const auto& left, const auto& right) {
            return left.load.kv_tokens + left.load.prefill_tokens >
                   right.load.kv_tokens + right.load.prefill_tokens;
          });
      load.rows.resize(protocol::kMaxPeerHeartbeatRows);
    }
    for (const gateway::PeerLoad::Row& row : load.rows) {
      heartbeat.rows.push_back({.endpoint_key = row.endpoint_key,
                                .requests = row.load.requests,
                                .kv_tokens = row.load.kv_tokens,
                                .prefill_tokens = row.load.prefill_tokens});
    }
    for (const gateway::EndpointPause& pause : this->options.own_pauses()) {
      if (heartbeat.pauses.size() < protocol::kMaxPeerHeartbeatPauses) {
        heartbeat.pauses.push_back(
            {.endpoint_key = pause.endpoint_key,
             .left_ms = static_cast<std::uint32_t>(
                 std::chrono::ceil<std::chrono::milliseconds>(pause.left)
                     .count()),
             .unreachable =
                 pause.reason == gateway::PauseReason::kUnreachable});
      }
    }
    this->AddForecast(heartbeat);
    return protocol::Encode(heartbeat);
  }

  // Not with each heartbeat: under load there are fifty a second, and what is
  // learned changes by the minute.
  void AddForecast(protocol::PeerHeartbeat& heartbeat) {
    const Instant now = this->options.now();
    if (now - this->forecast_told_at < kForecastInterval) {
      return;
    }
    const auto told = this->options.next_forecast();
    if (!told) {
      return;
    }
    this->forecast_told_at = now;
    protocol::PeerHeartbeat::Forecast row{.service_key = told->service_key};
    for (const forecast::ToldValue& figure : told->figures) {
      row.figures.push_back(
          {.value = static_cast<float>(figure.value),
           .observations = static_cast<std::uint8_t>(
               std::min<std::uint32_t>(figure.observations, UINT8_MAX))});
    }
    heartbeat.forecasts.push_back(std::move(row));
  }

  std::uint32_t ReadAge() const {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->options.now() - this->read_at);
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(age.count(), kNeverReadMs));
  }

  void OnDatagram(std::string_view datagram, const http::Address& from) {
    const Result<protocol::PeerHeartbeat> heartbeat =
        protocol::DecodePeerHeartbeat(datagram);
    if (!heartbeat.ok()) {
      log::WriteLimited(this->limiter, this->options.now(),
                        log::Level::kWarning, "peer_datagram_bad",
                        {.code = heartbeat.error().result_code(),
                         .fields = {{"from", http::ToString(from)},
                                    {"detail", heartbeat.error().detail}}});
      return;
    }
    if (heartbeat->sender == this->options.id) {
      return;
    }
    const bool newcomer = !this->peers.contains(heartbeat->sender) ||
                          !this->peers[heartbeat->sender].heard;
    Peer& peer = this->peers[heartbeat->sender];
    // Datagrams overtake each other; an old one must not undo a newer.
    if (peer.heard && peer.incarnation == heartbeat->incarnation &&
        heartbeat->sequence <= peer.sequence) {
      return;
    }
    if (newcomer) {
      log::Info("peer_heard", {.fields = {{"peer", heartbeat->sender},
                                          {"from", http::ToString(from)}}});
    }
    peer.heard = true;
    peer.address = from;
    peer.incarnation = heartbeat->incarnation;
    peer.sequence = heartbeat->sequence;
    peer.pages_port = heartbeat->pages_port;
    peer.configuration = heartbeat->configuration;
    peer.endpoints = heartbeat->endpoints;
    peer.heard_at = this->options.now();
    peer.read_at =
        peer.heard_at - std::chrono::milliseconds(heartbeat->read_age_ms);
    for (const protocol::PeerHeartbeat::Pause& pause : heartbeat->pauses) {
      this->options.on_pause(
          {.endpoint_key = pause.endpoint_key,
           .left = std::chrono::milliseconds(pause.left_ms),
           .reason = pause.unreachable ? gateway::PauseReason::kUnreachable
                                       : gateway::PauseReason::kRoleChange});
    }
    for (const protocol::PeerHeartbeat::Forecast& told : heartbeat->forecasts) {
      this->TakeForecast(told);
    }
    this->options.on_load(heartbeat->sender, LoadOf(*heartbeat));
    this->NoteBehind();
    if (newcomer) {
      this->TellAll();
      // Not from here: what the others sent may lie behind this datagram.
      QTimer::singleShot(0, &this->keep_alive, [this] { this->OnKeepAlive(); });
    }
    this->FetchIfBehind();
  }

  // Figures that this process does not know are a newer peer's.
  void TakeForecast(const protocol::PeerHeartbeat::Forecast& row) const {
    forecast::ToldForecast told{.service_key = row.service_key};
    const std::size_t known = std::min(row.figures.size(), told.figures.size());
    for (std::size_t at = 0; at < known; ++at) {
      told.figures[at] = {.value = row.figures[at].value,
                          .observations = row.figures[at].observations};
    }
    this->options.on_forecast(told);
  }

  static gateway::PeerLoad LoadOf(const protocol::PeerHeartbeat& heartbeat) {
    gateway::PeerLoad load;
    load.rows.reserve(heartbeat.rows.size());
    for (const protocol::PeerHeartbeat::Row& row : heartbeat.rows) {
      load.rows.push_back({.endpoint_key = row.endpoint_key,
                           .load = {.requests = row.requests,
                                    .kv_tokens = row.kv_tokens,
                                    .prefill_tokens = row.prefill_tokens}});
    }
    return load;
  }

  // After this process stood still the timer may run before what came meanwhile
  // is read: all peers would be lost at once (`peer_lost`), none of which was
  // silent, and this process would take their share upon itself.
  void OnKeepAlive() {
    if (this->socket.ReadPending()) {
      this->CountPeers();
    }
    if (this->options.now() - this->last_told >= kKeepAlive) {
      this->TellAll();
    }
    this->FetchIfBehind();
  }

  void CountPeers() {
    const Instant now = this->options.now();
    std::size_t alive = 0;
    std::size_t known = 0;
    bool first = true;
    for (auto& [id, peer] : this->peers) {
      const bool lives = peer.heard && now - peer.heard_at < kPeerMemory;
      if (peer.heard && !lives) {
        peer.heard = false;
        log::Warning(
            "peer_lost",
            {.fields = {{"peer", id}, {"silent_ms", now - peer.heard_at}}});
      }
      alive += lives ? 1 : 0;
      known += peer.heard_at != Instant{} && now - peer.heard_at < kKnownMemory
                   ? 1
                   : 0;
      first = first && !(lives && id < this->options.id);
    }
    this->options.on_peer_count(alive, known, first);
  }

  bool HasNewerConfiguration(const Peer& peer, Instant now) const {
    return peer.heard && now >= peer.passed_over_until &&
           peer.configuration > this->known.configuration;
  }

  bool HasNewerEndpoints(const Peer& peer, Instant now) const {
    return peer.heard && now >= peer.passed_over_until &&
           now >= peer.open_until && peer.endpoints > this->known.complete_to;
  }

  // The newest configuration that this process knows, or a peer tells of.
  LogOffset NewestConfiguration() const {
    LogOffset newest = this->known.configuration;
    for (const auto& [id, peer] : this->peers) {
      newest = std::max(newest, peer.heard ? peer.configuration : LogOffset());
    }
    return newest;
  }

  // Since when a peer has told of a newer configuration than the one known.
  void NoteBehind() {
    if (this->NewestConfiguration() == this->known.configuration) {
      this->behind_since.reset();
    } else if (!this->behind_since) {
      this->behind_since = this->options.now();
    }
  }

  // Whether a newer configuration is to come from a peer. Not left to the
  // store by a process that has none, and serves nobody until it has; nor for
  // longer than kStoreFirst, since the store's calls may hang.
  bool NeedsConfiguration(Instant now) const {
    return this->behind_since &&
           (!this->store_serves || this->known.configuration == LogOffset() ||
            now - *this->behind_since >= kStoreFirst);
  }

  Offer OfferOf(const std::string& id, const Peer& peer, Instant now) const {
    Offer offer;
    if (this->HasNewerConfiguration(peer, now) &&
        now >= peer.turned_away_until && this->NeedsConfiguration(now)) {
      offer.configuration = peer.configuration;
    }
    if (this->HasNewerEndpoints(peer, now)) {
      offer.endpoints = peer.endpoints;
    }
    if (offer.empty()) {
      return offer;
    }
    offer.weight =
        placement::RendezvousWeight(this->own_hash, placement::HashText(id));
    return offer;
  }

  // The peer that offers most; null: none offers anything.
  const std::pair<const std::string, Peer>* BestSource(Instant now) const {
    const std::pair<const std::string, Peer>* best = nullptr;
    Offer best_offer;
    for (const auto& entry : this->peers) {
      const Offer offer = this->OfferOf(entry.first, entry.second, now);
      if (!offer.empty() && (best == nullptr || offer > best_offer)) {
        best = &entry;
        best_offer = offer;
      }
    }
    return best;
  }

  void FetchIfBehind() {
    const Instant now = this->options.now();
    if (this->fetching || now - this->fetched_at < kFetchInterval) {
      return;
    }
    const auto* const source = this->BestSource(now);
    if (source == nullptr) {
      return;
    }
    const auto& [id, peer] = *source;
    this->fetching = true;
    this->fetched_at = now;
    this->Ask({.peer = id,
               .pages = {.ip = peer.address.ip, .port = peer.pages_port},
               // What the store is to bring is told as known.
               .known_configuration = this->NeedsConfiguration(now)
                                          ? this->known.configuration
                                          : this->NewestConfiguration(),
               .configuration = peer.configuration,
               .endpoints = peer.endpoints});
  }

  void Ask(const Question& question) {
    this->client.Send(
        question.pages,
        {.method = "GET",
         .target = CatalogTarget(question.known_configuration)},
        {.on_end =
             [this, question](const std::string& body) {
               this->fetching = false;
               this->OnCatalog(question, body);
             },
         .on_error =
             [this, question](const Error& error, bool) {
               this->fetching = false;
               log::WriteLimited(
                   this->limiter, this->options.now(), log::Level::kWarning,
                   "peer_catalog_failed",
                   {.code = error.result_code(),
                    .fields = {{"from", http::ToString(question.pages)},
                               {"detail", error.detail}}});
               this->PassOver(question);
             }});
  }

  // The next best is asked meanwhile: one that died is believed to live for
  // two seconds, and all would wait for it.
  void PassOver(const Question& question) {
    this->peers[question.peer].passed_over_until =
        this->options.now() + kRetryInterval;
    this->FetchIfBehind();
  }

  void OnCatalog(const Question& question, const std::string& body) {
    const std::string from = http::ToString(question.pages);
    const Result<Catalog> catalog =
        ParseCatalog(body, this->known.configuration);
    if (!catalog.ok()) {
      log::Warning(
          "peer_catalog_bad",
          {.code = catalog.error().result_code(),
           .fields = {{"from", from}, {"detail", catalog.error().detail}}});
      this->PassOver(question);
      return;
    }
    const bool configured = catalog->configuration != nullptr;
    log::WriteLimited(this->limiter, this->options.now(), log::Level::kInfo,
                      "peer_catalog_taken",
                      {.fields = {{"from", from},
                                  {"endpoints_as_of", catalog->endpoints.as_of},
                                  {"with_configuration", configured}}});
    this->options.on_catalog(*catalog);
    this->NoteLeftOut(question, configured);
    this->FetchIfBehind();
  }

  // What the peer did not hand over is asked of others meanwhile, and the rest
  // of it: neither is a failure.
  void NoteLeftOut(const Question& question, bool configured) {
    Peer& peer = this->peers[question.peer];
    if (!configured && question.configuration > question.known_configuration) {
      peer.turned_away_until = this->options.now() + kTurnedAwayPause;
    }
    // A peer that waits for lapsed records tells of changes that its catalog
    // leaves open. Asked again and again, being the best of those that know as
    // much, it would keep others' settled knowledge from this process.
    if (question.endpoints > this->known.complete_to) {
      peer.open_until = this->options.now() + kRetryInterval;
    }
  }

  void ShowPage(const http::Request& request, http::Responder& responder) {
    if (request.method != "GET" || request.Path() != kCatalogPath) {
      responder.SendWhole({.status = kNotFound});
      return;
    }
    responder.SendWhole(
        {.status = kOk,
         .headers = {{"Content-Type", "application/json"}},
         .body = this->handout.PageFor(this->options.own_catalog(),
                                       KnownByTarget(request.target),
                                       this->options.now())});
  }

  const Options options;
  const std::uint64_t own_hash;
  net::DatagramSocket socket;
  http::Client client;
  std::unique_ptr<http::Server> pages;
  QTimer keep_alive;
  QTimer change;
  std::map<std::string, Peer> peers;
  CatalogHandout handout;
  log::RepeatLimiter limiter{{}};
  Positions known;
  std::optional<Instant> behind_since;  // no configuration was taken since
  bool store_serves = false;
  std::uint64_t sequence = 0;
  Instant last_told{};
  Instant fetched_at{};
  Instant forecast_told_at{};
  bool fetching = false;
  Instant read_at{};
};

PeerLink::PeerLink(Options link_options)
    : implementation(
          std::make_unique<Implementation>(std::move(link_options))) {}

PeerLink::~PeerLink() = default;

Status PeerLink::Start() {
  return this->implementation->Start();
}

void PeerLink::SetMembers(const std::map<std::string, http::Address>& members) {
  this->implementation->SetMembers(members);
}

void PeerLink::OnLoadChanged() {
  this->implementation->OnLoadChanged();
}

void PeerLink::SetPositions(const Positions& positions) {
  this->implementation->SetPositions(positions);
}

void PeerLink::SetStoreServes(bool serves) {
  this->implementation->SetStoreServes(serves);
}

void PeerLink::NoteStoreRead() {
  this->implementation->NoteStoreRead();
}

bool PeerLink::PeersReadStore() {
  return this->implementation->PeersReadStore();
}

}  // namespace acacialug::gateway_process
