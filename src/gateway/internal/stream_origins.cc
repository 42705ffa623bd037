#include "gateway/internal/stream_origins.h"

#include <algorithm>
#include <utility>

namespace acacialug::gateway {
namespace {

// A stream lasts for its route's timeout at most, and its caller may continue
// it for as long again.
constexpr int kTimeoutsPerStream = 2;
constexpr Duration kMinRetention = 5s;
// A catalog that neither the store nor a peer has confirmed for this long may
// lack another version at which streams have begun.
constexpr Duration kMaxUnconfirmed = 1500ms;
// A confirmation may be older than it seems by the time of its transmission.
constexpr Duration kMaxTransmission = 500ms;
// No process that has not heard of an introduced version can still believe in
// the former one.
static_assert(kMaxUnconfirmed + kMaxTransmission <=
              origin::VersionHistory::kIntroduction);

}  // namespace

StreamOrigins::StreamOrigins(Options origin_options)
    : options(std::move(origin_options)),
      directory({.id = this->options.id,
                 .now = this->options.hooks.now,
                 .send =
                     [this](const std::string& peer,
                            const origin::OriginMessage& message) {
                       if (this->options.hooks.send_origins) {
                         this->options.hooks.send_origins(peer, message);
                       }
                     },
                 .set_timer =
                     [this](Instant at, std::function<void()> call) {
                       this->options.timers.Set(at, std::move(call));
                     }},
                this->ledger),
      started_at(this->Now()) {}

void StreamOrigins::OnConfigurationReplaced(const RouteTable& routes) {
  Duration longest = kMinRetention;
  this->stream_services.clear();
  for (const Route& route : routes.configuration().routes) {
    if (IsStream(route.kind)) {
      longest = std::max(longest, kTimeoutsPerStream * route.timeout);
      for (const WeightedService& choice : route.services) {
        this->stream_services.insert(origin::ServiceKeyOf(choice.service));
      }
    }
  }
  this->history.SetRetention(longest);
  this->OnCatalogReplaced();
}

bool StreamOrigins::HasStreams(const EndpointRecord& record) const {
  return record.role != EndpointRole::kPlain ||
         this->stream_services.contains(origin::ServiceKeyOf(record.service));
}

void StreamOrigins::OnEndpoint(const EndpointRecord& record) {
  if (this->HasStreams(record)) {
    this->history.NoteSeen(
        origin::ServiceKeyOf(record.service),
        origin::VersionKeyOf(record.service, record.software_version),
        this->Now());
  }
}

void StreamOrigins::OnCatalogReplaced() {
  this->options.catalog.ForEach(
      [this](const EndpointRecord& record) { this->OnEndpoint(record); });
  this->AnnounceIfNeeded();
}

void StreamOrigins::OnCatalogConfirmed(Instant at) {
  this->confirmed_at = std::max(this->confirmed_at, at);
}

bool StreamOrigins::Announced(origin::ServiceKey service) const {
  return !this->history.Sole(service, this->Now());
}

// Streams that began while their service had one version were not announced.
void StreamOrigins::AnnounceIfNeeded() {
  bool more = false;
  for (const origin::ServiceKey service : this->history.Services()) {
    if (!this->Announced(service)) {
      this->announced.erase(service);
    } else {
      more = this->announced.insert(service).second || more;
    }
  }
  if (more) {
    this->directory.AnnounceAll();
  }
}

void StreamOrigins::OnPlaced(origin::StreamKey stream,
                             std::uint32_t attempt,
                             std::uint32_t placement,
                             const EndpointRecord& endpoint) {
  const origin::StreamOrigin begun{
      .stream = stream,
      .version =
          origin::VersionKeyOf(endpoint.service, endpoint.software_version),
      .attempt = attempt,
      .placement = placement,
      .left = this->history.retention_time()};
  this->ledger.Note(begun, true, this->Now());
  if (this->Announced(origin::ServiceKeyOf(endpoint.service))) {
    this->directory.Announce(begun);
  }
}

Duration StreamOrigins::VersionKnownFor(const EndpointRecord& endpoint) const {
  return this->history.KnownFor(
      origin::ServiceKeyOf(endpoint.service),
      origin::VersionKeyOf(endpoint.service, endpoint.software_version),
      this->Now());
}

bool StreamOrigins::Introduced(const EndpointRecord& endpoint) const {
  return this->history.Introduced(
      origin::ServiceKeyOf(endpoint.service),
      origin::VersionKeyOf(endpoint.service, endpoint.software_version),
      this->Now());
}

bool StreamOrigins::AllIntroduced(const ServiceName& service) const {
  return this->history.AllIntroduced(origin::ServiceKeyOf(service),
                                     this->Now());
}

std::optional<origin::VersionKey> StreamOrigins::Sole(
    const ServiceName& service) const {
  return this->history.Sole(origin::ServiceKeyOf(service), this->Now());
}

bool StreamOrigins::ConfirmedLately() const {
  return this->Now() - this->confirmed_at <= kMaxUnconfirmed;
}

bool StreamOrigins::IsMajority(std::size_t agreeing) const {
  return this->peers && 2 * (agreeing + 1) > *this->peers + 1;
}

void StreamOrigins::Resolve(std::optional<origin::StreamKey> stream,
                            const ServiceName& service,
                            std::function<void(const Origin& origin)> done) {
  const Instant begun_at = this->Now();
  if (stream) {
    if (const auto known = this->ledger.Find(*stream, begun_at)) {
      done({.version = known->version, .source = OriginSource::kLedger});
      return;
    }
  }
  const Duration confirmed_age = begun_at - this->confirmed_at;
  if (const auto sole = this->Sole(service); sole && this->ConfirmedLately()) {
    done({.version = sole,
          .source = OriginSource::kSole,
          .confirmed_age = confirmed_age});
    return;
  }
  if (!stream) {
    done({.confirmed_age = confirmed_age});
    return;
  }
  this->directory.Resolve(
      *stream, [this, service, begun_at, done = std::move(done)](
                   const origin::OriginDirectory::Found& known) {
        Origin found{.version = known.version,
                     .source = known.version ? OriginSource::kPeer
                                             : OriginSource::kUnknown,
                     .took = this->Now() - begun_at,
                     .answered = known.answered,
                     .confirmed_age = this->Now() - this->confirmed_at};
        if (!known.version &&
            (this->ConfirmedLately() || this->IsMajority(known.agreeing))) {
          found.version = this->Sole(service);
          found.source =
              found.version ? OriginSource::kSole : OriginSource::kUnknown;
        }
        done(found);
      });
}

void StreamOrigins::OnPeerHeartbeat(const std::string& peer) {
  this->directory.OnPeerHeard(peer);
}

void StreamOrigins::OnMessage(const std::string& peer,
                              const origin::OriginMessage& message) {
  this->directory.OnMessage(peer, message);
}

std::vector<origin::VersionReport> StreamOrigins::Reports() const {
  std::vector<origin::VersionReport> reports =
      this->history.Reports(this->Now());
  for (origin::VersionReport& report : reports) {
    report.recorded = this->recorder.Recorded(report.service, report.version,
                                              report.introduced);
  }
  return reports;
}

void StreamOrigins::OnReports(
    const std::vector<origin::VersionReport>& reports) {
  this->history.Merge(reports, this->Now());
  for (const origin::VersionReport& report : reports) {
    this->recorder.OnReported(report);
  }
  this->AnnounceIfNeeded();
}

void StreamOrigins::OnRecordRead(const origin::VersionRecord& record) {
  this->history.Merge(record, this->Now());
  this->recorder.OnRecord(record);
}

void StreamOrigins::OnRecordsRead() {
  this->history.NoteRecordsRead(this->Now());
  this->recorder.OnRecordsRead();
}

void StreamOrigins::OnRecordWritten(const origin::VersionRecord& record,
                                    bool written) {
  if (written) {
    this->recorder.OnRecord(record);
  } else {
    this->recorder.OnRecordFailed(record.service);
  }
}

void StreamOrigins::Sweep() {
  this->OnCatalogReplaced();
  this->history.Sweep(this->Now());
  this->ledger.Sweep(this->Now());
  this->directory.Sweep();
  // A process that has just started does not know whose turn it is.
  if (!this->options.hooks.record_versions ||
      this->Now() - this->started_at < origin::OriginDirectory::kStartTime) {
    return;
  }
  for (const origin::VersionRecord& record : this->recorder.TakeDue(
           this->history, this->directory.Rank(), this->Now())) {
    this->options.hooks.record_versions(record);
  }
}

}  // namespace acacialug::gateway
