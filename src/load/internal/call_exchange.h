#ifndef LOAD_INTERNAL_CALL_EXCHANGE_H_
#define LOAD_INTERNAL_CALL_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>

#include "load/internal/exchange_context.h"
#include "load/types/request_spec.h"

namespace acacialug::load {

// One plain call, with all submissions of its key, from its sending to its end.
// The hooks that it passes to the client keep it alive. Not thread safe.
class CallExchange : public std::enable_shared_from_this<CallExchange> {
 public:
  CallExchange(ExchangeContext& context, RequestSpec spec);

  // Precondition: called once.
  void Start(Instant arrived);

 private:
  // One submission's own state.
  struct Submission {
    bool first = true;
    std::size_t tries = 0;
    int status = 0;
    std::string outcome_header;
    bool unframed = false;  // the answer has neither a length nor chunks
  };
  using SubmissionPtr = std::shared_ptr<Submission>;

  void Send(const SubmissionPtr& submission);
  void OnEnd(const SubmissionPtr& submission, const std::string& body);
  void OnError(const SubmissionPtr& submission,
               const http::Address& address,
               const Error& error,
               bool sent);
  void Finish(const SubmissionPtr& submission,
              RequestOutcome outcome,
              const std::string& code);
  void CheckBody(const std::string& body);
  void Add(ViolationKind kind, std::string detail);
  EntryRotation& Rotation();

  ExchangeContext& context;
  RequestSpec spec;
  const CallMix& mix;
  http::Request request;
  std::string expected;
  std::optional<std::string> answered;  // the first answer's body
  Accounting::Id account = 0;
  std::size_t record = 0;        // in the context's calls
  std::uint32_t incomplete = 0;  // submissions that ended without an answer
  RequestOutcome first_outcome = RequestOutcome::kUnknown;
  std::string first_code;
};

}  // namespace acacialug::load

#endif  // LOAD_INTERNAL_CALL_EXCHANGE_H_
