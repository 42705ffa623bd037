#include "gateway_process/peer_link.h"

#include <QTimer>
#include <algorithm>
#include <optional>
#include <unordered_map>
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

// Without a change, a heartbeat is sent at this interval to show that the
// process is live. It is a third of the time for which its load is remembered.
constexpr Duration kKeepAlive = 400ms;
// A peer without a heartbeat for this long is not counted as live.
constexpr Duration kPeerMemory = 2s;
// A peer that was listed or received from within this time still takes its part
// of what all peers share: a process that is cut off from the others must not
// take their parts. Partitions last minutes.
constexpr Duration kKnownMemory = 10min;
// A peer that was never live, or is no longer, is tried at this interval.
constexpr Duration kRetryInterval = 2s;
constexpr Duration kFetchInterval = 250ms;
constexpr std::size_t kMaxCatalogBytes = std::size_t{16} * 1024 * 1024;
// Number of processes that always read the store: one may be cut off or frozen
// without a sign, and the other still reports meanwhile.
constexpr std::size_t kReaders = 2;
// An older read, or a peer without a heartbeat for longer, does not spare this
// process its own read: a configuration must be active within two seconds.
constexpr Duration kFreshRead = 800ms;
constexpr Duration kReaderMemory = 900ms;
constexpr std::int64_t kNeverReadMs = 1'000'000;
// Between two forecasts to the peers: the keep-alive interval.
constexpr Duration kForecastInterval = kKeepAlive;
// Between two reports of demand, which is a mean over a second.
constexpr Duration kDemandInterval = 200ms;
constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::chrono::milliseconds Milliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

// Peers that are sent the same heartbeat.
struct Group {
  std::size_t number = 0;  // unique among the groups
  QTimer change{};
  Instant last_sent_at{};
  Instant forecast_sent_at{};
  Instant versions_sent_at{};
  Instant demands_sent_at{};
  // Index of the first pause in the next heartbeat.
  std::size_t next_pause = 0;
  std::size_t crash_rounds = 0;  // heartbeats with crash reports
  std::size_t limit_rounds = 0;  // heartbeats with limit reports
};

struct Peer {
  http::Address address;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::uint16_t pages_port = 0;
  Instant last_received_at{};
  Instant listed_at{};  // first
  Instant sent_at{};
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
                 },
             .on_emptied =
                 [this](Instant since) { this->unread_since = since; },
             .now = this->options.now}),
        client({.connect_timeout = this->options.fetch_timeout,
                .silence_timeout = this->options.fetch_timeout,
                .max_body_bytes = kMaxCatalogBytes}),
        pages(std::make_unique<http::Server>(http::ServerOptions{
            .listen = this->options.listen,
            .limits = {.max_body_bytes = 1024,
                       .max_connections = 256,
                       .idle_yields = true},
            .make_handler =
                [this](int /*shard*/) {
                  return [this](const http::Request& request,
                                const http::ResponderPtr& responder) {
                    this->ServePage(request, *responder);
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
                       [this, near] { this->SendHeartbeat(near); });
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
    this->members_listed = true;
    for (const auto& [id, address] : members) {
      if (id == this->options.id) {
        continue;
      }
      this->options.on_listed(id);
      Peer& peer = this->peers[id];
      if (peer.listed_at == Instant{}) {
        peer.listed_at = this->options.now();
      }
      if (!peer.reported || peer.address.port == 0) {
        peer.address = address;
      }
    }
    this->SendHeartbeats();
  }

  void OnLoadChanged() {
    for (const bool near : {true, false}) {
      Group& group = this->GroupOf(near);
      if (!group.change.isActive()) {
        const Duration since = this->options.now() - group.last_sent_at;
        group.change.start(Milliseconds(
            std::max(Duration::zero(), this->Interval(near) - since)));
      }
    }
  }

  void ReportPauses() {
    const std::size_t pauses = this->options.own_pauses().size();
    for (std::size_t sent = 0; sent < pauses;
         sent += protocol::kMaxPeerHeartbeatPauses) {
      this->SendHeartbeats();
    }
  }

  void SetPositions(const Positions& newest) {
    const bool advanced = newest.configuration > this->known.configuration ||
                          newest.changed_to > this->known.changed_to ||
                          InEffect(newest) > InEffect(this->known);
    this->known = newest;
    this->sources.SetKnown({.configuration = newest.configuration,
                            .endpoints = newest.complete_to},
                           this->options.now());
    if (advanced) {
      this->ReportAdvance();
    }
  }

  void NoteStoreRead(Instant asked) {
    this->read_at = this->options.now();
    this->asked_at = std::max(this->asked_at, asked);
    this->Confirm(asked);
  }

  void SendOrigins(const std::string& id,
                   const origin::OriginMessage& message) {
    const auto peer = this->peers.find(id);
    if (peer != this->peers.end()) {
      protocol::PeerOrigins datagram =
          OriginsDatagram(this->options.id, message);
      datagram.endpoints = this->known.changed_to;
      this->socket.Send(protocol::Encode(datagram), peer->second.address);
    }
  }

  void SetStoreServes(bool serves) { this->sources.SetStoreServes(serves); }

  bool PeersReadStore() {
    this->socket.ReadPending();
    const Instant now = this->options.now();
    // This process also reads the store for what a peer knows and has not
    // delivered yet: that peer may die or become unreachable before it
    // delivers.
    if (this->sources.AnyKnowsMore(now)) {
      return false;
    }
    // A peer's read is reported by its next heartbeat.
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

  // Bounded by the last change: renewed records advance `complete_to` too, and
  // need no heartbeat of their own.
  static LogOffset InEffect(const Positions& positions) {
    return std::min(positions.complete_to, positions.changed_to);
  }

  // With many peers, only the first to know tells all of them at once, and the
  // others their neighbours: 300 processes that tell 300 each use more of
  // their links than callers' requests do.
  void ReportAdvance() {
    this->SendHeartbeat(true);
    if (!gateway::AreManyPeers(this->peers.size()) ||
        !this->sources.AnyKnows(
            {.configuration = this->known.configuration,
             .endpoints = this->known.changed_to,
             .endpoints_in_effect = InEffect(this->known)})) {
      this->SendHeartbeat(false);
    }
  }

  void SendHeartbeats() {
    this->SendHeartbeat(true);
    this->SendHeartbeat(false);
  }

  void SendHeartbeat(bool near) {
    Group& group = this->GroupOf(near);
    group.last_sent_at = this->options.now();
    const std::string datagram = this->MakeHeartbeat(group);
    for (auto& [id, peer] : this->peers) {
      if (peer.near != near) {
        continue;
      }
      const bool live =
          peer.reported &&
          group.last_sent_at - peer.last_received_at < kPeerMemory;
      if (live || group.last_sent_at - peer.sent_at >= kRetryInterval) {
        peer.sent_at = group.last_sent_at;
        this->socket.Send(datagram, peer.address);
      }
    }
  }

  void SendHeartbeatTo(Peer& peer) {
    Group& group = this->GroupOf(peer.near);
    group.versions_sent_at = {};
    peer.sent_at = this->options.now();
    this->socket.Send(this->MakeHeartbeat(group), peer.address);
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
        .endpoints_in_effect = InEffect(this->known),
        .read_age_ms = this->AgeOf(this->read_at),
        .confirmed_age_ms = this->AgeOf(this->asked_at)};
    this->AddCrashes(heartbeat, group);
    heartbeat.quotas = QuotaRows(this->options.collect_quota_reports(
        group.number, protocol::kMaxPeerHeartbeatQuotas));
    this->AddLimits(heartbeat, group);
    this->AddVersions(heartbeat, group);
    this->AddLoad(heartbeat, group);
    this->AddPauses(heartbeat, group);
    this->AddForecast(heartbeat, group);
    return protocol::Encode(heartbeat);
  }

  // Crashes go before loads: a request that ends endpoints goes on ending them
  // until every process knows it.
  void AddCrashes(protocol::PeerHeartbeat& heartbeat, Group& group) {
    const std::vector<retry::CrashRecord> reports =
        this->options.collect_crash_reports(protocol::kMaxPeerHeartbeatCrashes,
                                            group.crash_rounds);
    group.crash_rounds += reports.empty() ? 0 : 1;
    for (const retry::CrashRecord& record : reports) {
      heartbeat.crashes.push_back(CrashRow(record));
    }
  }

  void AddLimits(protocol::PeerHeartbeat& heartbeat, Group& group) const {
    heartbeat.limits = LimitRows(this->options.collect_limit_reports(
        protocol::kMaxPeerHeartbeatLimits, group.limit_rounds));
    group.limit_rounds += heartbeat.limits.empty() ? 0 : 1;
  }

  // More versions than fit are not reported: a peer must not take a part of a
  // service's versions for all of them.
  void AddVersions(protocol::PeerHeartbeat& heartbeat, Group& group) const {
    const Instant now = this->options.now();
    if (now - group.versions_sent_at < kForecastInterval) {
      return;
    }
    group.versions_sent_at = now;
    auto rows = VersionRows(this->options.version_reports());
    if (rows.size() <= protocol::kMaxPeerHeartbeatVersions) {
      heartbeat.versions = std::move(rows);
    }
  }

  void AddLoad(protocol::PeerHeartbeat& heartbeat, Group& group) const {
    gateway::PeerLoad load = this->options.own_load();
    const Instant now = this->options.now();
    if (now - group.demands_sent_at >= kDemandInterval) {
      heartbeat.demands = DemandRows(load.demands);
      group.demands_sent_at = now;
    }
    const std::size_t max_count =
        protocol::kMaxPeerHeartbeatRows - heartbeat.quotas.size() -
        heartbeat.limits.size() - heartbeat.versions.size() -
        heartbeat.demands.size() -
        protocol::kRowsPerCrash * heartbeat.crashes.size();
    if (load.rows.size() > max_count) {
      // The largest loads matter most; the peers find the rest by refusals.
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
    AddPaces(heartbeat, load.paces, max_count);
  }

  // A pace goes with its endpoint's load; those of endpoints without load take
  // the rows that are left.
  static void AddPaces(protocol::PeerHeartbeat& heartbeat,
                       const std::vector<gateway::PeerLoad::Pace>& paces,
                       std::size_t max_rows) {
    std::unordered_map<std::uint64_t, std::uint8_t> by_key;
    for (const gateway::PeerLoad::Pace& pace : paces) {
      by_key[pace.endpoint_key] = pace.pace;
    }
    for (protocol::PeerHeartbeat::Row& row : heartbeat.rows) {
      if (const auto known = by_key.extract(row.endpoint_key)) {
        row.pace = known.mapped();
      }
    }
    for (const auto& [key, pace] : by_key) {
      if (heartbeat.rows.size() < max_rows) {
        heartbeat.rows.push_back({.endpoint_key = key, .pace = pace});
      }
    }
  }

  // If one heartbeat cannot hold all pauses, each carries the next ones: a
  // pause that is never sent is found out by a refusal at each peer.
  void AddPauses(protocol::PeerHeartbeat& heartbeat, Group& group) {
    const std::vector<gateway::EndpointPause> pauses =
        this->options.own_pauses();
    const std::size_t count =
        std::min(pauses.size(), protocol::kMaxPeerHeartbeatPauses);
    for (std::size_t number = 0; number < count; ++number) {
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
        pauses.empty() ? 0 : (group.next_pause + count) % pauses.size();
  }

  // Not in each heartbeat: under load there are fifty a second, and forecasts
  // change by the minute.
  void AddForecast(protocol::PeerHeartbeat& heartbeat, Group& group) {
    const Instant now = this->options.now();
    if (now - group.forecast_sent_at < kForecastInterval) {
      return;
    }
    const auto report = this->options.next_forecast();
    if (!report) {
      return;
    }
    group.forecast_sent_at = now;
    heartbeat.forecasts.push_back(ForecastRow(*report));
  }

  std::uint32_t AgeOf(Instant read) const {
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(
        this->options.now() - read);
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(age.count(), kNeverReadMs));
  }

  // Whether the changes of endpoints up to a peer's position are known here.
  bool KnowsAllOf(LogOffset endpoints) const {
    return endpoints <=
           std::max(this->known.changed_to, this->known.complete_to);
  }

  // All changes of endpoints that the store had at this time are known here.
  void Confirm(Instant as_of) {
    if (as_of > this->confirmed_at) {
      this->confirmed_at = as_of;
      this->options.on_confirmed(as_of);
    }
  }

  void OnDatagram(std::string_view datagram, const http::Address& from) {
    if (protocol::IsPeerOrigins(datagram)) {
      this->OnOrigins(datagram, from);
    } else {
      this->OnHeartbeat(datagram, from);
    }
  }

  void LogBadDatagram(const Error& error, const http::Address& from) {
    log::WriteLimited(
        this->limiter, this->options.now(), log::Level::kWarning,
        "peer_datagram_bad",
        {.code = error.result_code(),
         .fields = {{"from", http::ToString(from)}, {"detail", error.detail}}});
  }

  void OnOrigins(std::string_view datagram, const http::Address& from) {
    const Result<protocol::PeerOrigins> message =
        protocol::DecodePeerOrigins(datagram);
    if (!message.ok()) {
      this->LogBadDatagram(message.error(), from);
    } else if (message->sender != this->options.id) {
      origin::OriginMessage origins = OriginsFromDatagram(*message);
      origins.sender_knows_more = !this->KnowsAllOf(message->endpoints);
      this->options.on_origins(message->sender, origins);
    }
  }

  void OnHeartbeat(std::string_view datagram, const http::Address& from) {
    const Result<protocol::PeerHeartbeat> heartbeat =
        protocol::DecodePeerHeartbeat(datagram);
    if (!heartbeat.ok()) {
      this->LogBadDatagram(heartbeat.error(), from);
      return;
    }
    if (heartbeat->sender == this->options.id) {
      return;
    }
    const bool newcomer = !this->peers.contains(heartbeat->sender) ||
                          !this->peers[heartbeat->sender].reported;
    Peer& peer = this->peers[heartbeat->sender];
    // Datagrams may arrive out of order; an old one must not undo a newer one.
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
    for (const protocol::PeerHeartbeat::Forecast& report :
         heartbeat->forecasts) {
      this->options.on_forecast(heartbeat->sender, ForecastFromRow(report));
    }
    for (const protocol::PeerHeartbeat::Crash& report : heartbeat->crashes) {
      this->options.on_crash(CrashFromRow(report));
    }
    for (const protocol::PeerHeartbeat::Limit& report : heartbeat->limits) {
      this->options.on_limit(LimitFromRow(report));
    }
    if (!heartbeat->versions.empty()) {
      this->options.on_versions(VersionsFromRows(heartbeat->versions));
    }
    if (this->KnowsAllOf(heartbeat->endpoints)) {
      // The heartbeat may have lain in the socket since it was last empty.
      this->Confirm(this->unread_since -
                    std::chrono::milliseconds(heartbeat->confirmed_age_ms));
    }
    this->options.on_heartbeat(heartbeat->sender, heartbeat->incarnation,
                               QuotasFromRows(heartbeat->quotas));
    this->options.on_load(heartbeat->sender,
                          LoadFromHeartbeat(*heartbeat, peer.near));
    this->sources.OnReport(
        heartbeat->sender,
        {.configuration = heartbeat->configuration,
         .endpoints = heartbeat->endpoints,
         .endpoints_in_effect = heartbeat->endpoints_in_effect},
        peer.last_received_at);
    if (newcomer) {
      this->options.on_new_peer();
      this->SendHeartbeatTo(peer);
      // Deferred, since other peers' datagrams may be queued behind this one.
      QTimer::singleShot(0, &this->keep_alive, [this] { this->OnKeepAlive(); });
    }
    this->FetchIfBehind();
  }

  // After a stall of this process the timer may fire before the datagrams
  // received meanwhile are read: all peers would be lost at once (`peer_lost`)
  // though all had kept sending, and this process would take over their share.
  void OnKeepAlive() {
    if (this->socket.ReadPending()) {
      this->CountPeers();
    }
    for (const bool near : {true, false}) {
      if (this->options.now() - this->GroupOf(near).last_sent_at >=
          std::max(kKeepAlive, this->Interval(near))) {
        this->SendHeartbeat(near);
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
      const bool live =
          peer.reported && now - peer.last_received_at < kPeerMemory;
      if (peer.reported && !live) {
        peer.reported = false;
        this->sources.NoteLost(id);
        log::Warning("peer_lost",
                     {.fields = {{"peer", id},
                                 {"silent_ms", now - peer.last_received_at}}});
      }
      alive += live ? 1 : 0;
      known += IsKnown(peer, now) ? 1 : 0;
      first = first && !(live && id < this->options.id);
    }
    const bool all_heard = known > 0 && now - this->started_at >= kPeerMemory;
    this->options.on_peer_count(
        alive,
        this->members_listed || all_heard ? std::optional(known) : std::nullopt,
        first);
  }

  static bool IsKnown(const Peer& peer, Instant now) {
    const Instant latest = std::max(peer.last_received_at, peer.listed_at);
    return latest != Instant{} && now - latest < kKnownMemory;
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
         .target = CatalogTarget(catalog_request.known_configuration,
                                 this->known.complete_to)},
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
               this->TryNextPeer(catalog_request);
             }});
  }

  // Queries the next best peer meanwhile: a peer that died still counts as
  // live for two seconds, and all processes would wait for it.
  void TryNextPeer(const CatalogRequest& failed) {
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
      this->TryNextPeer(catalog_request);
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

  void ServePage(const http::Request& request, http::Responder& responder) {
    if (request.method != "GET" || request.Path() != kCatalogPath) {
      responder.SendWhole({.status = kNotFound});
      return;
    }
    responder.SendWhole(
        {.status = kOk,
         .headers = {{"Content-Type", "application/json"}},
         .body = this->page_server.PageFor(
             this->options.own_catalog(EndpointsKnownByTarget(request.target)),
             KnownByTarget(request.target), this->options.now())});
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
  CatalogPageServer page_server;
  log::RepeatLimiter limiter{{}};
  Positions known;
  std::uint64_t sequence = 0;
  const Instant started_at = this->options.now();
  bool members_listed = false;
  Instant fetched_at{};
  bool fetching = false;
  Instant read_at{};
  Instant asked_at{};  // when the latest answer of the store was asked for
  Instant confirmed_at{};
  // Datagrams that are read now arrived after this.
  Instant unread_since = this->options.now();
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

void PeerLink::SendOrigins(const std::string& peer,
                           const origin::OriginMessage& message) {
  this->implementation->SendOrigins(peer, message);
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

void PeerLink::NoteStoreRead(Instant asked_at) {
  this->implementation->NoteStoreRead(asked_at);
}

bool PeerLink::PeersReadStore() {
  return this->implementation->PeersReadStore();
}

}  // namespace acacialug::gateway_process
