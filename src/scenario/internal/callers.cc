#include "scenario/internal/callers.h"

#include "scenario/internal/entry_host.h"
#include "standin/reference_answer.h"

namespace acacialug::scenario {
namespace {

constexpr char kFiller[] = "the quick brown fox jumps over the lazy dog, ";

// Prompts of different requests differ from the first byte on, so that the text
// of one caller is never valid for another.
std::string PromptOf(std::uint64_t number, std::uint32_t tokens) {
  std::string prompt = std::to_string(number) + ": ";
  const std::size_t bytes = std::size_t{tokens} * standin::kPromptBytesPerToken;
  while (prompt.size() < bytes) {
    prompt += kFiller;
  }
  prompt.resize(bytes);
  return prompt;
}

bool MayRepeat(const std::string& method) {
  return method != "POST" && method != "PATCH";
}

}  // namespace

Callers::Callers(EventQueue& event_queue,
                 Checker& simulation_checker,
                 FindEntry find_entry)
    : queue(event_queue),
      checker(simulation_checker),
      entries(std::move(find_entry)) {}

Request& Callers::Add(const std::string& entry) {
  Request& request = this->all.emplace_back();
  request.number = this->all.size();
  request.id = {.high = 7, .low = request.number};
  request.entry = entry;
  request.sent_at = this->queue.now();
  this->by_id[request.id] = request.number;
  return request;
}

std::uint64_t Callers::Send(const Generation& generation) {
  Request& request = this->Add(generation.entry);
  request.generation = true;
  request.read = generation.read;
  const std::string prompt = PromptOf(request.number, generation.prompt_tokens);
  request.expected =
      standin::MakeReferenceAnswer(prompt, generation.answer_tokens).text;
  const auto entry = this->entries(generation.entry);
  if (entry == nullptr) {
    this->End(request, RequestState::kLost);
    return request.number;
  }
  const entry::GenerationArrived arrived{
      .request = request.id,
      .caller = CallerName("caller"),
      .generation = {.model = ModelName("m"),
                     .body = "{\"prompt\":\"" + prompt + "\"}",
                     .max_tokens = generation.answer_tokens},
      .prompt_text = prompt,
      .deadline = generation.deadline};
  entry->Feed([this, arrived, host = entry.get()] {
    host->core().OnGeneration(arrived, this->queue.now());
  });
  return request.number;
}

std::uint64_t Callers::Send(const Call& call) {
  Request& request = this->Add(call.entry);
  request.repeatable = MayRepeat(call.method);
  // Identifies the work: a resubmission has the same marker.
  request.marker = !call.key.empty() ? "key " + call.key
                   : !call.ticket.empty()
                       ? "ticket " + call.ticket
                       : "request " + std::to_string(request.number);
  protocol::ServiceRequest wanted{
      .method = call.method,
      .target = "/x",
      .body = "{\"marker\":\"" + request.marker + "\"}"};
  request.expected = standin::ReferenceServiceAnswer(
      wanted.method, wanted.target, wanted.body);
  const auto entry = this->entries(call.entry);
  if (entry == nullptr) {
    this->End(request, RequestState::kLost);
    return request.number;
  }
  const entry::CallArrived arrived{.request = request.id,
                                   .caller = CallerName("caller"),
                                   .service = ServiceName("app"),
                                   .call = wanted,
                                   .idempotency_key = call.key,
                                   .ticket = call.ticket,
                                   .deadline = call.deadline};
  entry->Feed([this, arrived, host = entry.get()] {
    host->core().OnCall(arrived, this->queue.now());
  });
  return request.number;
}

void Callers::Cancel(std::uint64_t number) {
  Request& request = this->all.at(number - 1);
  if (request.state != RequestState::kOpen) {
    return;
  }
  this->End(request, RequestState::kCancelled);
  if (const auto entry = this->entries(request.entry)) {
    entry->Feed([this, id = request.id, host = entry.get()] {
      host->core().OnCallerGone(id, this->queue.now());
    });
  }
}

void Callers::OnEntryEnded(const EntryHost& entry) {
  for (Request& request : this->all) {
    if (request.entry == entry.Name() && request.state == RequestState::kOpen) {
      this->End(request, RequestState::kLost);
    }
  }
}

void Callers::OnText(const entry::AnswerText& text, const InEntry& in_entry) {
  Request* const request = this->Find(text.request);
  if (request == nullptr || request->state == RequestState::kCancelled) {
    return;
  }
  request->text += text.text;
  this->checker.OnText(*request, text.index);
  ++request->pieces;
  const auto entry = this->entries(request->entry);
  this->queue.After(
      request->read, [this, in_entry, id = text.request, index = text.index,
                      weak = std::weak_ptr<EntryHost>(entry)] {
        in_entry([this, id, index, weak] {
          if (const auto host = weak.lock()) {
            host->core().OnDelivered(id, index, this->queue.now());
          }
        });
      });
}

void Callers::OnEnd(const entry::AnswerEnd& end) {
  if (Request* const request = this->Find(end.request)) {
    this->checker.OnFinal(*request);
    this->checker.OnComplete(*request);
    this->End(*request, RequestState::kCompleted);
  }
}

void Callers::OnCallAnswered(const entry::AnswerCall& answer) {
  if (Request* const request = this->Find(answer.request)) {
    this->checker.OnFinal(*request);
    request->text = answer.answer.body;
    request->replayed = answer.replayed;
    if (answer.answer.status == 200) {
      this->checker.OnComplete(*request);
    }
    this->End(*request, RequestState::kCompleted);
  }
}

void Callers::OnError(const entry::AnswerError& error) {
  if (Request* const request = this->Find(error.request)) {
    this->checker.OnFinal(*request);
    request->code = error.code;
    const bool not_run = error.outcome == protocol::Outcome::kNotRun;
    if (not_run) {
      this->checker.OnNotRun(*request);
    }
    this->End(*request,
              not_run ? RequestState::kNotRun : RequestState::kFailed);
  }
}

const Request& Callers::Get(std::uint64_t number) const {
  return this->all.at(number - 1);
}

Request* Callers::Find(const RequestId& id) {
  const auto found = this->by_id.find(id);
  if (found == this->by_id.end()) {
    this->checker.Report("an answer names a request that nobody made");
    return nullptr;
  }
  return &this->all.at(found->second - 1);
}

void Callers::End(Request& request, RequestState state) {
  if (request.state == RequestState::kOpen) {
    request.state = state;
    request.ended_at = this->queue.now();
  }
}

}  // namespace acacialug::scenario
