#ifndef GATEWAY_TESTS_GATEWAY_SIMULATION_H_
#define GATEWAY_TESTS_GATEWAY_SIMULATION_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/random_source.h"
#include "gateway/gateway_core.h"

namespace acacialug::gateway::testing {

// The answer that a caller received.
struct Answer {
  int status = 0;
  std::string body;
  bool ended = false;
  bool cut = false;
  bool unframed = false;  // had neither a length nor chunks
  std::string retry_after;
  Instant first_byte_at = kNever;
  Instant ended_at = kNever;
};

// A request as an endpoint received it, until it is answered.
struct Call {
  http::Client::ExchangeId id = 0;
  http::Address address;
  http::Request request;
  http::ExchangeHooks hooks;
  http::SendOptions options;
  bool cancelled = false;
  bool left = false;  // its caller has ended its sending side
};

// The value of a header of the request as the endpoint received it; empty when
// the header is absent.
std::string HeaderOf(const std::shared_ptr<Call>& call, std::string_view name);

// A core in virtual time, whose endpoints the test drives by hand. In its
// dialect the header `Id` names a request, `Size` is "PROMPT,OUTPUT",
// `Deadline` is in ms, `Parts` are the shared parts of its prompt, separated by
// blanks, `Key` is the caller's key, and `Resumed` and `Last-Event` name the
// attempt and the event that a stream is continued after. Endpoints receive the
// name of the request's customer as `Customer`, and answer with the headers
// `Id`, `Proof` (the endpoint's own answer), `Refused` (the request did not
// run), `Other` (the address is wrong), `Limit` (requests per second that the
// endpoint takes), `Leaving`, or `Rest` (in seconds). Their reports are texts
// that hold the ids of the requests that run, and may hold `started` and the
// time at which the process started.
class GatewaySimulation {
 public:
  // `repeat_extra`: repeats that the budget allows beside its share of the
  // requests. `id`: of the gateway, which starts at `started_at`; empty: it has
  // run for long, alone.
  explicit GatewaySimulation(double repeat_extra = 58,
                             const std::string& id = "g1",
                             std::optional<Instant> started_at = {});

  // Activates a configuration with the routes of this simulation; a later call
  // replaces it. Plain requests go to a service without an engine, and streams
  // to one with an engine, but on the routes whose names begin with `/listing`
  // and `/feed`.
  void Configure(std::optional<std::vector<Customer>> customers = {});
  void AddEndpoint(const std::string& id,
                   const std::string& service,
                   EndpointRole role,
                   const std::string& software_version = {});
  void RemoveEndpoint(const std::string& id);
  // The endpoint's record shows that it has just started under the same id.
  // Precondition: started_at_ms > 0.
  void Restart(const std::string& id, std::int64_t started_at_ms);
  // The endpoint's record shows another software version under the same id.
  void SetVersion(const std::string& id, const std::string& software_version);
  // Marks the endpoint as leaving: it takes no new work, and ends soon.
  void Retire(const std::string& id);

  // Sends a caller's request; the answer is filled in as time advances.
  std::shared_ptr<Answer> SendRequest(const std::string& path,
                                      const std::string& id,
                                      const std::string& size = "3000,900",
                                      int deadline_ms = 14000);
  // Sends a request whose prompt has these parts, and a last one of its own.
  std::shared_ptr<Answer> SendPrompt(const std::string& path,
                                     const std::string& id,
                                     const std::vector<std::string>& parts,
                                     const std::string& size = "3000,900");
  // Sends a request that continues the stream of an attempt after its event.
  std::shared_ptr<Answer> ResumeStream(const std::string& path,
                                       const std::string& id,
                                       const std::string& resumed_attempt,
                                       int last_event);
  // Disconnects the caller of the latest request.
  void Disconnect();

  // Requests that are at endpoints now, the newest last.
  std::vector<std::shared_ptr<Call>> Calls();
  // The newest call whose target contains `target_or_step`, or whose header
  // `Step` equals it; null if there is none.
  std::shared_ptr<Call> Find(std::string_view target_or_step);
  // The software version of the endpoint that has the call; empty for none.
  std::string VersionAt(const std::shared_ptr<Call>& call) const;
  std::shared_ptr<Call> FindAt(const std::string& endpoint,
                               std::string_view target_or_step);

  // Answers of endpoints.
  void Reply(const std::shared_ptr<Call>& call,
             int status,
             const http::Headers& headers,
             const std::string& body = {});
  void ReplyProof(const std::shared_ptr<Call>& call,
                  int status,
                  const std::string& body = {});
  void ReplyRefused(const std::shared_ptr<Call>& call);
  void Break(const std::shared_ptr<Call>& call,
             bool sent = true,
             ResultCode code = ResultCode::kConnectionLost);
  // A stream: its head, then events, then its end. `unframed`: the body has
  // neither a length nor chunks, so that its end is that of the connection.
  void Begin(const std::shared_ptr<Call>& call, bool unframed = false);
  void Event(const std::shared_ptr<Call>& call, int id);
  void End(const std::shared_ptr<Call>& call);
  // Endpoints that are asked what they run have ended: they take no connection.
  void RefuseQuestions();
  // Grants the reservation and answers the prefill of the newest generation;
  // returns its decode call. Endpoints that are asked before have ended.
  std::shared_ptr<Call> AdvanceToDecode();

  // The number of log entries of an event.
  std::ptrdiff_t Logged(std::string_view event) const;

  void AdvanceBy(Duration time);
  // Stalls this process for `time`: time advances, and nothing that is due or
  // arrives is processed. Then its event loop checks its timer before its
  // sockets, which an event loop may do.
  void Stall(Duration time);

  // Share of the requests on the split route that go to the service "other", in
  // percent; the rest go to "model".
  std::uint32_t other_weight = 0;
  // The service that the routes `/listing/` and `/listing-once/` go to.
  std::string listing_service = "model";
  Instant now{1h};
  std::string key;  // which callers send; empty: no key
  RandomSource random{7};
  std::vector<std::string> events;    // of the log entries
  std::vector<std::string> released;  // exports and reservations
  Duration stalled_for{};             // as the core reported
  std::size_t pauses_reported = 0;    // when the core last reported more
  std::optional<TermGrant> term_grant;
  // Receives the messages about streams' origins to the peers, and what is to
  // be stored of versions. Both may be empty.
  std::function<void(const std::string& peer, const origin::OriginMessage&)>
      on_origins;
  std::function<void(const origin::VersionRecord&)> on_versions;
  // Receives what is to be stored of a quarantine. May be empty.
  std::function<void(const retry::CrashRecord&)> on_quarantine;
  // Runs when an endpoint is sent a request. May be empty.
  std::function<void(const std::shared_ptr<Call>&)> on_call;
  // Whether Configure also reports that the stored records were read: none.
  bool reads_version_records = true;
  std::unique_ptr<GatewayCore> core;
  std::map<std::string, http::Address> addresses;
  std::map<std::string, EndpointRecord> records;

 private:
  class FakeResponder;

  std::shared_ptr<Answer> Send(const std::string& path, http::Headers headers);

  GatewayHooks Hooks();
  static EndpointDialect Dialect();
  // Writes the endpoint's record.
  void ApplyRecord(const std::string& id);

  std::vector<std::shared_ptr<Call>> calls;
  std::vector<std::weak_ptr<FakeResponder>> responders;
  http::Client::ExchangeId last_exchange = 0;
  std::uint64_t offset = 0;
  std::uint64_t version = 0;
};

}  // namespace acacialug::gateway::testing

#endif  // GATEWAY_TESTS_GATEWAY_SIMULATION_H_
