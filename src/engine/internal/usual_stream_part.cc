#include "engine/internal/usual_stream_part.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "framework/global/types/enum_names.h"

namespace acacialug::engine {
namespace {

// The reader's position in the event.
enum class Position : std::uint8_t {
  kOutside,
  kEvent,
  kChoices,
  kChoice,
  kDelta,
  kUsage,
  kUsageDetails,
  kSkipped,
};

enum class Key : std::uint8_t {
  kOther,
  kChoices,
  kUsage,
  kError,
  kIndex,
  kDelta,
  kContent,
  kText,
  kFinishReason,
  kPromptTokens,
  kCompletionTokens,
  kPromptTokensDetails,
  kCachedTokens,
};

constexpr EnumNames<Key, 12> kKeyNames = {{
    {Key::kChoices, "choices"},
    {Key::kUsage, "usage"},
    {Key::kError, "error"},
    {Key::kIndex, "index"},
    {Key::kDelta, "delta"},
    {Key::kContent, "content"},
    {Key::kText, "text"},
    {Key::kFinishReason, "finish_reason"},
    {Key::kPromptTokens, "prompt_tokens"},
    {Key::kCompletionTokens, "completion_tokens"},
    {Key::kPromptTokensDetails, "prompt_tokens_details"},
    {Key::kCachedTokens, "cached_tokens"},
}};

constexpr std::size_t kUsualDepth = 8;

// Each method returns false to give up when the event does not have the usual
// form.
class Reader : public nlohmann::json_sax<nlohmann::json> {
 public:
  Reader() { this->outer.reserve(kUsualDepth); }

  StreamPart TakePart() {
    this->part.text =
        std::move(this->has_delta ? this->delta_text : this->choice_text);
    return std::move(this->part);
  }

  bool null() override { return this->TakesValue(); }
  bool boolean(bool) override { return this->OnUnexpectedValue(); }
  bool number_integer(number_integer_t) override {
    return this->OnUnexpectedValue();
  }
  bool number_float(number_float_t, const string_t&) override {
    return this->OnUnexpectedValue();
  }
  bool binary(binary_t&) override { return false; }

  bool number_unsigned(number_unsigned_t value) override {
    if (this->At(Position::kChoice, Key::kIndex)) {
      return value == 0;
    }
    const auto number = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        value, std::numeric_limits<std::uint32_t>::max()));
    if (this->At(Position::kUsage, Key::kPromptTokens)) {
      this->part.usage->prompt_tokens = number;
    } else if (this->At(Position::kUsage, Key::kCompletionTokens)) {
      this->part.usage->output_tokens = number;
    } else if (this->At(Position::kUsageDetails, Key::kCachedTokens)) {
      this->part.usage->cached_tokens = number;
    } else {
      return this->OnUnexpectedValue();
    }
    return true;
  }

  bool string(string_t& value) override {
    if (this->At(Position::kDelta, Key::kContent)) {
      this->delta_text = std::move(value);
    } else if (this->At(Position::kChoice, Key::kText)) {
      this->choice_text = std::move(value);
    } else if (this->At(Position::kChoice, Key::kFinishReason)) {
      this->part.reason = ValueOf(protocol::kFinishReasonNames, value);
      return this->part.reason.has_value();
    } else {
      return this->OnUnexpectedValue();
    }
    return true;
  }

  bool key(string_t& name) override {
    this->last_key = ValueOf(kKeyNames, name).value_or(Key::kOther);
    if (this->position != Position::kEvent &&
        this->position != Position::kChoice &&
        this->position != Position::kDelta &&
        this->position != Position::kUsage &&
        this->position != Position::kUsageDetails) {
      return true;
    }
    // A member that occurs twice has no defined meaning.
    const std::uint32_t bit = 1U << static_cast<unsigned>(this->last_key);
    const bool twice = this->last_key != Key::kOther && (this->seen & bit) != 0;
    this->seen |= bit;
    return !twice && !this->At(Position::kEvent, Key::kError);
  }

  bool start_object(std::size_t) override {
    if (this->position == Position::kOutside) {
      return this->Enter(Position::kEvent);
    }
    if (this->position == Position::kChoices) {
      return ++this->choices == 1 && this->Enter(Position::kChoice);
    }
    if (this->At(Position::kChoice, Key::kDelta)) {
      this->has_delta = true;
      return this->Enter(Position::kDelta);
    }
    if (this->At(Position::kEvent, Key::kUsage)) {
      this->part.usage.emplace();
      return this->Enter(Position::kUsage);
    }
    if (this->At(Position::kUsage, Key::kPromptTokensDetails)) {
      return this->Enter(Position::kUsageDetails);
    }
    return this->OnUnexpectedValue() && this->Enter(Position::kSkipped);
  }

  bool start_array(std::size_t) override {
    if (this->At(Position::kEvent, Key::kChoices)) {
      return this->Enter(Position::kChoices);
    }
    return this->OnUnexpectedValue() && this->Enter(Position::kSkipped);
  }

  bool end_object() override { return this->Leave(); }
  bool end_array() override { return this->Leave(); }

  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool At(Position wanted, Key key) const {
    return this->position == wanted && this->last_key == key;
  }

  // An event is an object, and choices are objects.
  bool TakesValue() const {
    return this->position != Position::kOutside &&
           this->position != Position::kChoices;
  }

  // Accepts a value that reads as the empty value, except for these keys.
  bool OnUnexpectedValue() const {
    return this->TakesValue() &&
           !this->At(Position::kChoice, Key::kFinishReason) &&
           !this->At(Position::kEvent, Key::kChoices);
  }

  bool Enter(Position next) {
    this->outer.push_back(this->position);
    this->position = next;
    return true;
  }

  bool Leave() {
    this->position = this->outer.back();
    this->outer.pop_back();
    return true;
  }

  Position position = Position::kOutside;
  std::vector<Position> outer;  // the positions around `position`
  Key last_key = Key::kOther;
  std::uint32_t seen = 0;  // keys seen, as bits
  std::uint32_t choices = 0;
  bool has_delta = false;
  std::string delta_text;
  std::string choice_text;
  StreamPart part;
};

}  // namespace

std::optional<StreamPart> ReadUsualStreamPart(std::string_view data) {
  Reader reader;
  if (!nlohmann::json::sax_parse(data.begin(), data.end(), &reader)) {
    return std::nullopt;
  }
  return reader.TakePart();
}

}  // namespace acacialug::engine
