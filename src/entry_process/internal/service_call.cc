#include "entry_process/internal/service_call.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "entry_process/internal/caller_headers.h"

namespace acacialug::entry_process {
namespace {

// Headers that are set again at each hop, or are meant for the router alone.
constexpr std::array<std::string_view, 6> kNotForwarded = {
    "host",           "content-length", "expect",
    kRequestIdHeader, kTicketHeader,    kDeadlineHeader};
constexpr std::array<std::string_view, 5> kNotReturned = {
    "content-length", kRequestIdHeader, kClientRequestIdHeader, kOutcomeHeader,
    kReplayedHeader};

template <std::size_t kSize>
bool IsListed(const std::array<std::string_view, kSize>& names,
              const http::Header& header) {
  const http::Headers one = {header};
  return std::any_of(names.begin(), names.end(), [&one](std::string_view name) {
    return http::FindHeader(one, name).has_value();
  });
}

}  // namespace

protocol::ServiceRequest MakeServiceRequest(http::Request request,
                                            std::string target,
                                            const RequestId& id) {
  protocol::ServiceRequest call{.method = std::move(request.method),
                                .target = std::move(target)};
  const http::HopByHopNames hop_by_hop(request.headers);
  for (const http::Header& header : request.headers) {
    if (!hop_by_hop.Contains(header.name) && !IsListed(kNotForwarded, header)) {
      call.headers.push_back({header.name, header.value});
    }
  }
  call.headers.push_back({kRequestIdHeader, ToString(id)});
  call.body = std::move(request.body);
  return call;
}

http::Response MakeServiceResponse(protocol::ServiceAnswer answer,
                                   bool replayed) {
  http::Headers all;
  for (protocol::HeaderField& field : answer.headers) {
    all.push_back({std::move(field.name), std::move(field.value)});
  }
  http::Response response{.status = answer.status,
                          .body = std::move(answer.body),
                          .unframed = answer.unframed};
  const http::HopByHopNames hop_by_hop(all);
  for (const http::Header& header : all) {
    if (!hop_by_hop.Contains(header.name) && !IsListed(kNotReturned, header)) {
      response.headers.push_back(header);
    }
  }
  response.headers.push_back({kOutcomeHeader, "completed"});
  if (replayed) {
    response.headers.push_back({kReplayedHeader, "true"});
  }
  return response;
}

}  // namespace acacialug::entry_process
