#ifndef GATEWAY_TESTS_GATEWAY_SIMULATION_H_
#define GATEWAY_TESTS_GATEWAY_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/random_source.h"
#include "gateway/gateway_core.h"

namespace acacialug::gateway::testing {

// What a caller got.
struct Answer {
  int status = 0;
  std::string body;
  bool ended = false;
  bool cut = false;
  std::string retry_after;
  Instant first_byte_at = kNever;
  Instant ended_at = kNever;
};

// A request as an endpoint got it, until it is answered.
struct Call {
  http::Client::ExchangeId id = 0;
  http::Address address;
  http::Request request;
  http::ExchangeHooks hooks;
  bool cancelled = false;
};

// A header of the request, as the endpoint got it; empty: it has none.
std::string HeaderOf(const std::shared_ptr<Call>& call, std::string_view name);

// A core in virtual time, whose endpoints the test plays by hand. Its dialect:
// the header `Id` names a request, `Size` is "PROMPT,OUTPUT", `Deadline` is in
// ms, `Key` is the caller's key; endpoints get the name of its customer as
// `Customer`, and answer with the headers `Id`, `Proof` (an endpoint's own
// answer) or `Refused` (it did not run), and `Other` for a wrong address.
class GatewaySimulation {
 public:
  // `repeat_extra`: the budget of repeats beside its share of the requests.
  explicit GatewaySimulation(double repeat_extra = 58);

  // A configuration with the routes of kRoutes, in force at once; a later call
  // replaces it.
  void Configure(std::optional<std::vector<Customer>> customers = {});
  void AddEndpoint(const std::string& id,
                   const std::string& service,
                   EndpointRole role);
  void RemoveEndpoint(const std::string& id);
  // It takes no new work, and ends soon.
  void Retire(const std::string& id);

  // Sends a caller's request; its answer is filled in as time goes on.
  std::shared_ptr<Answer> SendRequest(const std::string& path,
                                      const std::string& id,
                                      const std::string& size = "3000,900",
                                      int deadline_ms = 14000);
  // The caller of the latest request leaves.
  void Disconnect();

  // Requests that are at endpoints now; the newest last.
  std::vector<std::shared_ptr<Call>> Calls();
  // The newest call whose target, or header `Step`, has this.
  std::shared_ptr<Call> Find(std::string_view what);
  std::shared_ptr<Call> FindAt(const std::string& endpoint,
                               std::string_view what);

  // Answers of endpoints.
  void Reply(const std::shared_ptr<Call>& call,
             int status,
             const http::Headers& headers,
             const std::string& body = {});
  void ReplyProof(const std::shared_ptr<Call>& call,
                  int status,
                  const std::string& body = {});
  void ReplyRefused(const std::shared_ptr<Call>& call);
  void Break(const std::shared_ptr<Call>& call, bool sent = true);
  // A stream: its head, then events, then its end.
  void Begin(const std::shared_ptr<Call>& call);
  void Event(const std::shared_ptr<Call>& call, int id);
  void End(const std::shared_ptr<Call>& call);
  // Grants the reservation and answers the prefill of the newest generation.
  std::shared_ptr<Call> AdvanceToDecode();

  void AdvanceBy(Duration time);
  // This process stands still for so long: time passes, and nothing that is
  // due or arrives is looked at. Then its event loop looks at its timer, before
  // its sockets, as it may.
  void Stall(Duration time);

  Instant now{1h};
  std::string key;  // that callers show; empty: none
  RandomSource random{7};
  std::vector<std::string> events;    // of the log
  std::vector<std::string> released;  // exports and reservations given back
  Duration stalled_for{};             // as the core told
  std::size_t pauses_reported = 0;    // when the core said that there are more
  std::optional<TermGrant> term_grant;
  std::unique_ptr<GatewayCore> core;
  std::map<std::string, http::Address> addresses;
  std::map<std::string, EndpointRecord> records;

 private:
  class FakeResponder;

  GatewayHooks Hooks();
  static EndpointDialect Dialect();

  std::vector<std::shared_ptr<Call>> calls;
  std::vector<std::weak_ptr<FakeResponder>> responders;
  http::Client::ExchangeId last_exchange = 0;
  std::uint64_t offset = 0;
  std::uint64_t version = 0;
};

}  // namespace acacialug::gateway::testing

#endif  // GATEWAY_TESTS_GATEWAY_SIMULATION_H_
