#include "gateway/internal/takeup_resolver.h"

#include <optional>
#include <utility>

namespace acacialug::gateway {
namespace {

// Retry-After while the origin of a stream is not known: the processes that
// know may not be reachable for a moment.
constexpr Duration kRetryUnknownOrigin = 500ms;

}  // namespace

void TakeupResolver::Resolve(const std::shared_ptr<Relay>& relay,
                             std::function<void()> place) {
  const RelayJob& job = relay->job();
  if (!job.request.resume_after || !IsStream(job.route->kind)) {
    place();
    return;
  }
  std::optional<origin::StreamKey> stream;
  if (!job.request.resumed_attempt.empty()) {
    stream = origin::StreamKeyOf(job.subjects.request.value,
                                 job.request.resumed_attempt);
  }
  this->options.origins.Resolve(stream, job.service,
                                [this, relay, place = std::move(place)](
                                    const StreamOrigins::Origin& origin) {
                                  if (!relay->finished()) {
                                    this->OnOrigin(*relay, origin, place);
                                  }
                                });
}

void TakeupResolver::OnOrigin(Relay& relay,
                              const StreamOrigins::Origin& origin,
                              const std::function<void()>& place) const {
  const WorkRequest& request = relay.job().request;
  this->options.hooks.log(
      origin.version ? log::Level::kInfo : log::Level::kWarning,
      "stream_origin",
      {.request_name = request.id,
       .fields = {{"resumed_attempt", request.resumed_attempt},
                  {"source", NameOf(kOriginSourceNames, origin.source)},
                  {"after_ms", origin.took},
                  {"peers_answered", origin.answered},
                  {"confirmed_age_ms", origin.confirmed_age}}});
  if (!origin.version || *origin.version == origin::VersionKey()) {
    relay.Refuse(ResultCode::kOriginUnknown, kRetryUnknownOrigin);
    return;
  }
  relay.SetVersion(*origin.version);
  this->FollowVersion(relay);
  place();
}

// The route's weights may have changed since the stream began, so that its name
// now selects another service.
void TakeupResolver::FollowVersion(Relay& relay) const {
  for (const WeightedService& choice : relay.job().route->services) {
    if (!relay.VersionGone()) {
      return;
    }
    const ServiceTraits* const traits =
        relay.job().routes->FindService(choice.service);
    if (traits != nullptr) {
      relay.SetService(choice.service, *traits,
                       this->options.state_of(choice.service));
    }
  }
}

}  // namespace acacialug::gateway
