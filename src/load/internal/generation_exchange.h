#ifndef LOAD_INTERNAL_GENERATION_EXCHANGE_H_
#define LOAD_INTERNAL_GENERATION_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>

#include "load/answer_checker.h"
#include "load/internal/exchange_context.h"
#include "load/internal/stream_reader.h"
#include "load/types/request_spec.h"

namespace acacialug::load {

// One generation from its sending to its end. The hooks that it passes to the
// client keep it alive. Not thread safe.
class GenerationExchange
    : public std::enable_shared_from_this<GenerationExchange> {
 public:
  // Creates the body and the expected answer, which is slow for a long prompt:
  // construct it before the arrival.
  GenerationExchange(ExchangeContext& context, RequestSpec spec);

  // Precondition: called once.
  void Start(Instant arrived);

 private:
  void SendToEntry();
  void SendPrefill();
  void SendDecode(const std::string& prefill_answer);
  void SendStream(const http::Address& address, const http::Request& request);
  // Runs `again` if another address can be tried, since nothing was sent.
  void OnUnreachable(EntryRotation& rotation,
                     const http::Address& address,
                     void (GenerationExchange::*again)());
  void OnHead(int status, const http::Headers& headers);
  void OnData(std::string_view data);
  void OnText(std::string_view text);
  void OnEnd();
  // Whether what was received is a whole answer by itself.
  bool EndsWhole() const;
  void OnAnswerError(const AnswerError& error);
  void Break(const std::string& code);
  void Finish(RequestOutcome outcome, const std::string& code);
  AnswerEvents MakeEvents();
  http::Request MakeRequest(std::string body) const;

  ExchangeContext& context;
  RequestSpec spec;
  const GenerationMix& mix;
  std::string body;
  AnswerChecker checker;
  StreamReader reader;
  Accounting::Id account = 0;
  http::Client::ExchangeId exchange = 0;
  std::size_t tries = 0;
  int status = 0;
  std::string outcome_header;
  bool unframed = false;   // the answer has neither a length nor chunks
  std::string whole_body;  // of an error, or of an answer that is not streamed
  std::optional<AnswerError> answer_error;
  bool done = false;
};

}  // namespace acacialug::load

#endif  // LOAD_INTERNAL_GENERATION_EXCHANGE_H_
