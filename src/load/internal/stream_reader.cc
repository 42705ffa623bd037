#include "load/internal/stream_reader.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace acacialug::load {
namespace {

using nlohmann::json;

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kDone = "[DONE]";
constexpr int kFirstRejection = 400;
constexpr int kFirstServerError = 500;

json Parse(std::string_view text) {
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

std::string TextOf(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::uint32_t CountOf(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number_unsigned()
             ? found->get<std::uint32_t>()
             : 0;
}

protocol::Usage ReadUsage(const json& usage) {
  protocol::Usage read{.prompt_tokens = CountOf(usage, "prompt_tokens"),
                       .output_tokens = CountOf(usage, "completion_tokens")};
  const auto details = usage.find("prompt_tokens_details");
  if (details != usage.end() && details->is_object()) {
    read.cached_tokens = CountOf(*details, "cached_tokens");
  }
  return read;
}

std::string CodeOf(const json& error) {
  for (const char* key : {"number", "code"}) {
    const auto found = error.find(key);
    if (found != error.end() && found->is_number_integer()) {
      return std::to_string(found->get<int>());
    }
    if (found != error.end() && found->is_string()) {
      return found->get<std::string>();
    }
  }
  return "none";
}

RequestOutcome OutcomeOf(int status, std::string_view outcome) {
  if (outcome == NameOf(protocol::kOutcomeNames, protocol::Outcome::kNotRun)) {
    return RequestOutcome::kNotRun;
  }
  if (outcome.empty() && status >= kFirstRejection &&
      status < kFirstServerError) {
    return RequestOutcome::kRejected;
  }
  return RequestOutcome::kUnknown;
}

void ReadChoice(const json& choice, const AnswerEvents& events) {
  std::string text = TextOf(choice, "text");
  for (const char* part : {"delta", "message"}) {
    const auto found = choice.find(part);
    if (found != choice.end() && found->is_object()) {
      text += TextOf(*found, "content");
    }
  }
  if (!text.empty()) {
    events.on_text(text);
  }
  const std::string reason = TextOf(choice, "finish_reason");
  if (!reason.empty()) {
    events.on_finish(reason);
  }
}

// One event of a stream, or a whole answer: they differ only in `delta` and
// `message`.
void ReadObject(std::string_view text, const AnswerEvents& events) {
  const json object = Parse(text);
  if (!object.is_object()) {
    events.on_malformed("no JSON object: " + std::string(text.substr(0, 80)));
    return;
  }
  if (object.contains("error")) {
    events.on_error(ReadError(0, {}, text));
    return;
  }
  const auto choices = object.find("choices");
  if (choices != object.end() && choices->is_array()) {
    for (const json& choice : *choices) {
      if (choice.is_object()) {
        ReadChoice(choice, events);
      }
    }
  }
  const auto usage = object.find("usage");
  if (usage != object.end() && usage->is_object()) {
    events.on_usage(ReadUsage(*usage));
  }
}

}  // namespace

AnswerError ReadError(int status,
                      std::string_view outcome_header,
                      std::string_view body) {
  const json object = Parse(body);
  const auto error = object.is_object() ? object.find("error") : object.end();
  if (!object.is_object() || error == object.end() || !error->is_object()) {
    return {.code = "status " + std::to_string(status),
            .outcome = OutcomeOf(status, outcome_header)};
  }
  const std::string outcome = outcome_header.empty()
                                  ? TextOf(*error, "outcome")
                                  : std::string(outcome_header);
  return {.code = CodeOf(*error), .outcome = OutcomeOf(status, outcome)};
}

StreamReader::StreamReader(AnswerEvents answer_events)
    : events(std::move(answer_events)) {}

void StreamReader::OnData(std::string_view data) {
  this->unread += data;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = this->unread.find('\n', begin);
    if (end == std::string::npos) {
      break;
    }
    this->OnLine(std::string_view(this->unread).substr(begin, end - begin));
    begin = end + 1;
  }
  this->unread.erase(0, begin);
}

void StreamReader::OnLine(std::string_view line) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty() || line.starts_with(':')) {
    return;
  }
  if (!line.starts_with(kDataField)) {
    this->events.on_malformed("line " + std::string(line.substr(0, 80)));
    return;
  }
  line.remove_prefix(kDataField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (line == kDone) {
    this->events.on_end();
  } else {
    ReadObject(line, this->events);
  }
}

void ReadWholeAnswer(std::string_view body, const AnswerEvents& events) {
  bool failed = false;
  AnswerEvents watched = events;
  watched.on_error = [&failed, &events](const AnswerError& error) {
    failed = true;
    events.on_error(error);
  };
  ReadObject(body, watched);
  if (!failed) {
    events.on_end();
  }
}

}  // namespace acacialug::load
