#include "gateway_process/peer_link.h"

#include <QTimer>
#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "framework/http/http_client.h"
#include "framework/http/http_server.h"
#include "framework/log/log.h"
#include "framework/net/datagram_socket.h"
#include "gateway/peer_rounds.h"
#include "gateway_process/internal/catalog_page_server.h"
#include "gateway_process/internal/catalog_sources.h"
#include "gateway_process/internal/heartbeat_rows.h"
#include "placement/types/hashing.h"
#include "protocol/message_codec.h"

namespace acacialug::gateway_process {
namespace {

// Without a change peers hear this often that a process lives. A third of the
// time for which its load is remembered.
constexpr Duration kKeepAlive = 400ms;
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
constexpr std::int64_t kNeverReadMs = 1'000'000;
// Between two forecasts to the peers: a keep-alive's time.
constexpr Duration kForecastInterval = kKeepAlive;
constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::chrono::milliseconds Milliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

// Peers that are told together.
struct Group {
  std::size_t number = 0;  // one that no other group has
  QTimer change{};
  Instant last_told{};
  Instant forecast_told_at{};
  std::size_t next_pause = 0;  // the first of those in the next heartbeat
  std::size_t rounds = 0;      // of crashes that were told
};

struct Peer {
  http::Address address;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::uint16_t pages_port = 0;
  Instant last_received_at{};
  Instant told_at{};
  Instant read_at{};
  bool reported = false;
  bool near = false;  // of this process's failure domain
};

}  // namespace

class PeerLink::Implementation {
 public:
  explicit Implementation(Options link_options)
      : options(std::move(link_options)),
        domain_key(placement::HashText(this->options.domain.text)),
        sources(this->options.id),
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
    for (const bool near : {true, false}) {
      QTimer& change = this->GroupOf(near).change;
      change.setSingleShot(true);
      QObject::connect(&change, &QTimer::timeout,
                       [this, near] { this->Tell(near); });
    }
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
      this->options.on_listed(id);
      Peer& peer = this->peers[id];
      if (!peer.reported || peer.address.port == 0) {
        peer.address = address;
      }
    }
    this->TellAll();
  }

  void OnLoadChanged() {
    for (const bool near : {true, false}) {
      Group& group = this->GroupOf(near);
      if (!group.change.isActive()) {
        const Duration since = this->options.now() - group.last_told;
        group.change.start(Milliseconds(
            std::max(Duration::zero(), this->Interval(near) - since)));
      }
    }
  }

  void ReportPauses() {
    const std::size_t pauses = this->options.own_pauses().size();
    for (std::size_t told = 0; told < pauses;
         told += protocol::kMaxPeerHeartbeatPauses) {
      this->TellAll();
    }
  }

  void SetPositions(const Positions& newest) {
    const bool news = newest.configuration > this->known.configuration ||
                      newest.changed_to > this->known.changed_to;
    this->known = newest;
    this->sources.SetKnown({.configuration = newest.configuration,
                            .endpoints = newest.complete_to},
                           this->options.now());
    if (news) {
      this->TellAll();
    }
  }

  void NoteStoreRead() { this->read_at = this->options.now(); }

  void SetStoreServes(bool serves) { this->sources.SetStoreServes(serves); }

  bool PeersReadStore() {
    this->socket.ReadPending();
    const Instant now = this->options.now();
    // What a peer knows and has not handed over yet is read here as well: it
    // may be gone, or out of reach, before it does.
    if (this->sources.AnyKnowsMore(now)) {
      return false;
    }
    // What a peer read is told by its next heartbeat.
    const Duration round = this->Interval(false);
    std::size_t readers_before = 0;
    bool fresh = false;
    for (const auto& [id, peer] : this->peers) {
      if (!peer.reported ||
          now - peer.last_received_at > kReaderMemory + round) {
        continue;
      }
      readers_before += id < this->options.id ? 1 : 0;
      fresh = fresh || now - peer.read_at < kFreshRead + round;
    }
    return readers_before >= kReaders && fresh;
  }

 private:
  Group& GroupOf(bool near) {
    return near ? this->near_group : this->far_group;
  }

  Duration Interval(bool near) const {
    const auto neighbours = static_cast<std::size_t>(
        std::count_if(this->peers.begin(), this->peers.end(),
                      [](const auto& entry) { return entry.second.near; }));
    const std::size_t all = this->peers.size();
    return gateway::RoundInterval(all, near ? neighbours : all - neighbours);
  }

  void TellAll() {
    this->Tell(true);
    this->Tell(false);
  }

  void Tell(bool near) {
    Group& group = this->GroupOf(near);
    group.last_told = this->options.now();
    const std::string datagram = this->MakeHeartbeat(group);
    for (auto& [id, peer] : this->peers) {
      if (peer.near != near) {
        continue;
      }
      const bool lives = peer.reported &&
                         group.last_told - peer.last_received_at < kPeerMemory;
      if (lives || group.last_told - peer.told_at >= kRetryInterval) {
        peer.told_at = group.last_told;
        this->socket.Send(datagram, peer.address);
      }
    }
  }

  std::string MakeHeartbeat(Group& group) {
    protocol::PeerHeartbeat heartbeat{
        .sender = this->options.id,
        .domain_key = this->domain_key,
        .incarnation = this->options.incarnation,
        .sequence = ++this->sequence,
        .pages_port = this->pages->port(),
        .configuration = this->known.configuration,
        .endpoints = this->known.changed_to,
        .read_age_ms = this->ReadAge()};
    this->AddCrashes(heartbeat, group);
    heartbeat.quotas = QuotaRows(this->options.collect_quota_reports(
        group.number, protocol::kMaxPeerHeartbeatQuotas));
    this->AddLoad(heartbeat);
    this->AddPauses(heartbeat, group);
    this->AddForecast(heartbeat, group);
    return protocol::Encode(heartbeat);
  }

  // They go before loads: a request that ends endpoints goes on ending them
  // until every process knows it.
  void AddCrashes(protocol::PeerHeartbeat& heartbeat, Group& group) {
    const std::vector<retry::CrashRecord> told =
        this->options.collect_crash_reports(protocol::kMaxPeerHeartbeatCrashes,
                                            group.rounds);
    group.rounds += told.empty() ? 0 : 1;
    for (const retry::CrashRecord& record : told) {
      heartbeat.crashes.push_back(CrashRow(record));
    }
  }

  void AddLoad(protocol::PeerHeartbeat& heartbeat) const {
    const std::size_t max_count =
        protocol::kMaxPeerHeartbeatRows - heartbeat.quotas.size() -
        protocol::kRowsPerCrash * heartbeat.crashes.size();
    gateway::PeerLoad load = this->options.own_load();
    if (load.rows.size() > max_count) {
      // The largest loads matter most; the rest is told by placing elsewhere.
      std::partial_sort(
          load.rows.begin(),
          load.rows.begin() + static_cast<std::ptrdiff_t>(max_count),
          load.rows.end(), [](const auto& left, const auto& right) {
            return left.load.kv_tokens + left.load.prefill_tokens >
                   right.load.kv_tokens + right.load.prefill_tokens;
          });
      load.rows.resize(max_count);
    }
    for (const gateway::PeerLoad::Row& row : load.rows) {
      heartbeat.rows.push_back({.endpoint_key = row.endpoint_key,
                                .requests = row.load.requests,
                                .kv_tokens = row.load.kv_tokens,
                                .prefill_tokens = row.load.prefill_tokens});
    }
  }

  // With more than one heartbeat holds each tells the next ones: what was never
  // told is found out by a refusal at each peer.
  void AddPauses(protocol::PeerHeartbeat& heartbeat, Group& group) {
    const std::vector<gateway::EndpointPause> pauses =
        this->options.own_pauses();
    const std::size_t told =
        std::min(pauses.size(), protocol::kMaxPeerHeartbeatPauses);
    for (std::size_t number = 0; number < told; ++number) {
      const gateway::EndpointPause& pause =
          pauses[(group.next_pause + number) % pauses.size()];
      heartbeat.pauses.push_back(
          {.endpoint_key = pause.endpoint_key,
           .left_ms = static_cast<std::uint32_t>(
               std::chrono::ceil<std::chrono::milliseconds>(pause.left)
                   .count()),
           .unreachable = pause.reason == gateway::PauseReason::kUnreachable});
    }
    group.next_pause =
        pauses.empty() ? 0 : (group.next_pause + told) % pauses.size();
  }

  // Not with each heartbeat: under load there are fifty a second, and what is
  // learned changes by the minute.
  void AddForecast(protocol::PeerHeartbeat& heartbeat, Group& group) {
    const Instant now = this->options.now();
    if (now - group.forecast_told_at < kForecastInterval) {
      return;
    }
    const auto told = this->options.next_forecast();
    if (!told) {
      return;
    }
    group.forecast_told_at = now;
    heartbeat.forecasts.push_back(ForecastRow(*told));
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
                          !this->peers[heartbeat->sender].reported;
    Peer& peer = this->peers[heartbeat->sender];
    // Datagrams overtake each other; an old one must not undo a newer.
    if (peer.reported && peer.incarnation == heartbeat->incarnation &&
        heartbeat->sequence <= peer.sequence) {
      return;
    }
    if (newcomer) {
      log::Info("peer_heard", {.fields = {{"peer", heartbeat->sender},
                                          {"from", http::ToString(from)}}});
    }
    peer.reported = true;
    peer.address = from;
    peer.near = heartbeat->domain_key == this->domain_key;
    peer.incarnation = heartbeat->incarnation;
    peer.sequence = heartbeat->sequence;
    peer.pages_port = heartbeat->pages_port;
    peer.last_received_at = this->options.now();
    peer.read_at = peer.last_received_at -
                   std::chrono::milliseconds(heartbeat->read_age_ms);
    for (const protocol::PeerHeartbeat::Pause& pause : heartbeat->pauses) {
      this->options.on_pause(
          {.endpoint_key = pause.endpoint_key,
           .left = std::chrono::milliseconds(pause.left_ms),
           .reason = pause.unreachable ? gateway::PauseReason::kUnreachable
                                       : gateway::PauseReason::kRoleChange});
    }
    for (const protocol::PeerHeartbeat::Forecast& told : heartbeat->forecasts) {
      this->options.on_forecast(heartbeat->sender, ForecastFromRow(told));
    }
    for (const protocol::PeerHeartbeat::Crash& told : heartbeat->crashes) {
      this->options.on_crash(CrashFromRow(told));
    }
    this->options.on_heartbeat(heartbeat->sender, heartbeat->incarnation,
                               QuotasFromRows(heartbeat->quotas));
    this->options.on_load(heartbeat->sender,
                          LoadFromHeartbeat(*heartbeat, peer.near));
    this->sources.OnReport(heartbeat->sender,
                           {.configuration = heartbeat->configuration,
                            .endpoints = heartbeat->endpoints},
                           peer.last_received_at);
    if (newcomer) {
      this->options.on_new_peer();
      this->TellAll();
      // Not from here: what the others sent may lie behind this datagram.
      QTimer::singleShot(0, &this->keep_alive, [this] { this->OnKeepAlive(); });
    }
    this->FetchIfBehind();
  }

  // After this process stood still the timer may run before what came meanwhile
  // is read: all peers would be lost at once (`peer_lost`), none of which was
  // silent, and this process would take their share upon itself.
  void OnKeepAlive() {
    if (this->socket.ReadPending()) {
      this->CountPeers();
    }
    for (const bool near : {true, false}) {
      if (this->options.now() - this->GroupOf(near).last_told >=
          std::max(kKeepAlive, this->Interval(near))) {
        this->Tell(near);
      }
    }
    this->FetchIfBehind();
  }

  void CountPeers() {
    const Instant now = this->options.now();
    std::size_t alive = 0;
    std::size_t known = 0;
    bool first = true;
    for (auto& [id, peer] : this->peers) {
      const bool lives =
          peer.reported && now - peer.last_received_at < kPeerMemory;
      if (peer.reported && !lives) {
        peer.reported = false;
        this->sources.NoteLost(id);
        log::Warning("peer_lost",
                     {.fields = {{"peer", id},
                                 {"silent_ms", now - peer.last_received_at}}});
      }
      alive += lives ? 1 : 0;
      known += peer.last_received_at != Instant{} &&
                       now - peer.last_received_at < kKnownMemory
                   ? 1
                   : 0;
      first = first && !(lives && id < this->options.id);
    }
    this->options.on_peer_count(alive, known, first);
  }

  void FetchIfBehind() {
    const Instant now = this->options.now();
    if (this->fetching || now - this->fetched_at < kFetchInterval) {
      return;
    }
    if (const auto catalog_request = this->sources.Next(now)) {
      this->fetching = true;
      this->fetched_at = now;
      this->FetchFromPeer(*catalog_request);
    }
  }

  void FetchFromPeer(const CatalogRequest& catalog_request) {
    const Peer& peer = this->peers[catalog_request.peer];
    const http::Address pages_at{.ip = peer.address.ip,
                                 .port = peer.pages_port};
    const std::string from = http::ToString(pages_at);
    this->client.Send(
        pages_at,
        {.method = "GET",
         .target = CatalogTarget(catalog_request.known_configuration)},
        {.on_end =
             [this, catalog_request, from](const std::string& body) {
               this->fetching = false;
               this->OnCatalog(catalog_request, from, body);
             },
         .on_error =
             [this, catalog_request, from](const Error& error, bool) {
               this->fetching = false;
               log::WriteLimited(
                   this->limiter, this->options.now(), log::Level::kWarning,
                   "peer_catalog_failed",
                   {.code = error.result_code(),
                    .fields = {{"from", from}, {"detail", error.detail}}});
               this->AskNext(catalog_request);
             }});
  }

  // The next best is asked meanwhile: one that died is believed to live for
  // two seconds, and all would wait for it.
  void AskNext(const CatalogRequest& failed) {
    this->sources.NoteFailed(failed, this->options.now());
    this->FetchIfBehind();
  }

  void OnCatalog(const CatalogRequest& catalog_request,
                 const std::string& from,
                 const std::string& body) {
    const Result<Catalog> catalog =
        ParseCatalog(body, this->known.configuration);
    if (!catalog.ok()) {
      log::Warning(
          "peer_catalog_bad",
          {.code = catalog.error().result_code(),
           .fields = {{"from", from}, {"detail", catalog.error().detail}}});
      this->AskNext(catalog_request);
      return;
    }
    const bool configured = catalog->configuration != nullptr;
    log::WriteLimited(this->limiter, this->options.now(), log::Level::kInfo,
                      "peer_catalog_taken",
                      {.fields = {{"from", from},
                                  {"endpoints_as_of", catalog->endpoints.as_of},
                                  {"with_configuration", configured}}});
    this->options.on_catalog(*catalog);
    this->sources.NoteAnswered(catalog_request, configured,
                               this->options.now());
    this->FetchIfBehind();
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
  const std::uint64_t domain_key;
  CatalogSources sources;
  net::DatagramSocket socket;
  http::Client client;
  std::unique_ptr<http::Server> pages;
  QTimer keep_alive;
  Group near_group{.number = 0};
  Group far_group{.number = 1};
  std::map<std::string, Peer> peers;
  CatalogPageServer handout;
  log::RepeatLimiter limiter{{}};
  Positions known;
  std::uint64_t sequence = 0;
  Instant fetched_at{};
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

void PeerLink::ReportPauses() {
  this->implementation->ReportPauses();
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
