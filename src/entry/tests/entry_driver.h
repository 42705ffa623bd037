#ifndef ENTRY_TESTS_ENTRY_DRIVER_H_
#define ENTRY_TESTS_ENTRY_DRIVER_H_

#include <cppunit/TestAssert.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "entry/entry_core.h"

namespace acacialug::entry {

// Drives one EntryCore in virtual time: the test acts as the agents, and the
// driver keeps the actions that the core requests.
class EntryDriver {
 public:
  explicit EntryDriver(EntryOptions options = {});

  // Returns the manifest with 2 prefill, 2 decode and 2 plain endpoints (p1,
  // p2, d1, d2, s1, s2) and the services "lm" (model "m") and "app".
  static manifest::Manifest DefaultManifest();

  void Apply(manifest::Manifest manifest);
  // Opens the sessions of all endpoints to which the core connects.
  void OpenAll();
  void Open(const std::string& endpoint, std::uint64_t incarnation = 7);

  RequestId Generate(const std::string& prompt = std::string(400, 'x'),
                     std::uint32_t max_tokens = 8);
  RequestId Call(const std::string& method,
                 const std::string& idempotency_key = {},
                 const std::string& ticket = {});

  void Deliver(const std::string& endpoint,
               const protocol::AgentToEntry& message);
  void Close(const std::string& endpoint);
  // Advances the time and runs the timers of the core. Agents answer renewals
  // if `renew` is set.
  void AdvanceBy(Duration duration, bool renew = true);
  // Advances the time by a stall of the process, in which no timer runs.
  void Stall(Duration duration) { this->now += duration; }

  // Removes and returns the oldest message of that type; fails if there is
  // none. Earlier messages of other types stay.
  template <typename Message>
  Message Expect(std::string* endpoint = nullptr) {
    this->Collect();
    for (auto sent = this->sent.begin(); sent != this->sent.end(); ++sent) {
      if (const auto* message = std::get_if<Message>(&sent->message)) {
        Message found = *message;
        this->last_endpoint = sent->endpoint.text;
        if (endpoint != nullptr) {
          *endpoint = sent->endpoint.text;
        }
        this->sent.erase(sent);
        return found;
      }
    }
    CPPUNIT_FAIL("the core sent no such message");
    return {};
  }

  template <typename Message>
  std::size_t Count() {
    this->Collect();
    std::size_t count = 0;
    for (const SendToAgent& item : this->sent) {
      count += std::holds_alternative<Message>(item.message) ? 1 : 0;
    }
    return count;
  }

  // These are the steps of the usual path, answered as a healthy agent does.
  AttemptId Reserve(std::string* decode = nullptr, Duration available_in = {});
  AttemptId Prefill(std::string* prefill = nullptr, Duration lifetime = 800ms);
  AttemptId Decode(std::string* decode = nullptr);
  // Runs all three steps, and delivers the first chunk of the answer.
  AttemptId Stream(std::string* decode, const std::string& text);
  void Refuse(const std::string& endpoint,
              const AttemptId& attempt,
              protocol::Phase phase,
              ResultCode code = ResultCode::kOverloaded);
  void Fail(const std::string& endpoint,
            const AttemptId& attempt,
            protocol::Phase phase,
            ResultCode code,
            protocol::Outcome outcome = protocol::Outcome::kUnknown);
  void Chunk(const std::string& endpoint,
             const AttemptId& attempt,
             std::uint64_t sequence,
             const std::string& text);
  void End(const std::string& endpoint,
           const AttemptId& attempt,
           std::uint64_t chunks);

  std::string Text();  // of every AnswerText to date
  std::vector<AnswerError> Errors();
  std::size_t Ends();
  std::vector<AnswerCall> Calls();

  std::unique_ptr<EntryCore> core;
  Instant now{1h};
  std::vector<SendToAgent> sent;
  std::string last_endpoint;
  AttemptId last_attempt;  // set and read by tests only

 private:
  void Collect();

  RandomSource random{42};
  std::vector<EntryAction> answers;
  std::vector<EndpointId> connecting;
  std::uint64_t next_request = 1;
};

// A driver with all sessions open.
struct ReadyDriver : EntryDriver {
  explicit ReadyDriver(EntryOptions options = {})
      : EntryDriver(std::move(options)) {
    this->Apply(DefaultManifest());
    this->OpenAll();
  }
};

}  // namespace acacialug::entry

#endif  // ENTRY_TESTS_ENTRY_DRIVER_H_
