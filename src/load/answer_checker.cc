#include "load/answer_checker.h"

#include <utility>

namespace acacialug::load {

AnswerChecker::AnswerChecker(Options checker_options)
    : options(std::move(checker_options)) {}

void AnswerChecker::OnText(std::string_view text) {
  if (text.empty()) {
    return;
  }
  if (this->ended || this->failed) {
    this->Add(ViolationKind::kTwoAnswers, "text after the end");
    return;
  }
  if (this->finished) {
    this->Add(ViolationKind::kWrongEnd, "text after the finish reason");
  }
  this->received += text;
  const std::size_t size = this->options.token_bytes;
  while ((this->checked_tokens + 1) * size <= this->received.size()) {
    this->CheckToken(std::string_view(this->received)
                         .substr(this->checked_tokens * size, size));
    ++this->checked_tokens;
  }
}

void AnswerChecker::CheckToken(std::string_view token) {
  const std::size_t index = this->checked_tokens;
  if (this->skipped_one) {
    this->skipped_one = false;
    this->differs = true;
    const bool overtaken = token == this->ExpectedToken(index - 1);
    this->Add(
        overtaken ? ViolationKind::kTokenReordered : ViolationKind::kTokenLost,
        "token " + std::to_string(index - 1));
    return;
  }
  if (!this->differs && token != this->ExpectedToken(index)) {
    this->OnDifference(index, token);
  }
}

void AnswerChecker::OnDifference(std::size_t index, std::string_view token) {
  if (token == this->ExpectedToken(index + 1)) {
    this->skipped_one = true;
    return;
  }
  this->differs = true;
  const std::string where = "token " + std::to_string(index);
  const std::size_t count =
      this->options.expected.size() / this->options.token_bytes;
  if (index >= count) {
    this->Add(ViolationKind::kAnswerLong, where);
    return;
  }
  const std::size_t index_of_token = this->IndexOf(token);
  if (index_of_token == count) {
    this->Add(ViolationKind::kForeignAnswer, where);
  } else {
    this->Add(index_of_token < index ? ViolationKind::kTokenDoubled
                                     : ViolationKind::kTokenLost,
              where);
  }
}

void AnswerChecker::OnFinish(std::string_view reason) {
  if (this->finished) {
    this->Add(ViolationKind::kTwoAnswers, "a second finish reason");
    return;
  }
  this->finished = true;
  const std::string_view expected =
      NameOf(protocol::kFinishReasonNames, this->options.finish);
  if (reason != expected) {
    this->Add(ViolationKind::kWrongEnd, "finish reason " + std::string(reason) +
                                            " in place of " +
                                            std::string(expected));
  }
}

void AnswerChecker::OnUsage(const protocol::Usage& usage) {
  const std::size_t expected =
      this->options.expected.size() / this->options.token_bytes;
  const bool prompt_differs =
      this->options.prompt_tokens != 0 &&
      usage.prompt_tokens != this->options.prompt_tokens;
  if (usage.output_tokens != expected || prompt_differs) {
    this->Add(ViolationKind::kWrongEnd,
              "usage " + std::to_string(usage.prompt_tokens) + "+" +
                  std::to_string(usage.output_tokens) + " in place of " +
                  std::to_string(this->options.prompt_tokens) + "+" +
                  std::to_string(expected));
  }
}

void AnswerChecker::OnEnd() {
  if (this->ended || this->failed) {
    this->Add(ViolationKind::kTwoAnswers, "a second end");
    return;
  }
  this->ended = true;
  if (this->skipped_one) {
    this->skipped_one = false;
    this->differs = true;
    this->Add(ViolationKind::kTokenLost, "one of the last tokens");
  }
  if (this->differs) {
    return;
  }
  if (this->received.size() < this->options.expected.size()) {
    this->Add(ViolationKind::kAnswerShort,
              std::to_string(this->checked_tokens) + " tokens");
  } else if (this->received != this->options.expected) {
    this->Add(ViolationKind::kAnswerLong, "part of a token");
  }
  if (!this->finished) {
    this->Add(ViolationKind::kWrongEnd, "no finish reason");
  }
}

void AnswerChecker::OnError() {
  if (this->ended || this->failed) {
    this->Add(ViolationKind::kTwoAnswers, "an error after the end");
  }
  this->failed = true;
}

void AnswerChecker::OnMalformed(std::string detail) {
  this->Add(ViolationKind::kMalformed, std::move(detail));
}

std::uint32_t AnswerChecker::tokens() const {
  return static_cast<std::uint32_t>(this->checked_tokens);
}

bool AnswerChecker::whole() const {
  return this->ended && this->found.empty();
}

void AnswerChecker::Add(ViolationKind kind, std::string detail) {
  this->found.push_back({.kind = kind,
                         .request = this->options.request,
                         .detail = std::move(detail)});
}

std::string_view AnswerChecker::ExpectedToken(std::size_t index) const {
  const std::size_t from = index * this->options.token_bytes;
  if (from >= this->options.expected.size()) {
    return {};
  }
  return std::string_view(this->options.expected)
      .substr(from, this->options.token_bytes);
}

std::size_t AnswerChecker::IndexOf(std::string_view token) const {
  const std::size_t count =
      this->options.expected.size() / this->options.token_bytes;
  for (std::size_t index = 0; index < count; ++index) {
    if (this->ExpectedToken(index) == token) {
      return index;
    }
  }
  return count;
}

}  // namespace acacialug::load
