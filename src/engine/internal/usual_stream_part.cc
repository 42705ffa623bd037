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

// Where in the event the reader is.
enum class Place : std::uint8_t {
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

// Each method returns false to give up: the form is not the usual one.
class Reader : public nlohmann::json_sax<nlohmann::json> {
 public:
  Reader() { this->outer.reserve(kUsualDepth); }

  StreamPart TakePart() {
    this->part.text =
        std::move(this->has_delta ? this->delta_text : this->choice_text);
    return std::move(this->part);
  }

  bool null() override { return this->TakesValue(); }
  bool boolean(bool) override { return this->OnOddValue(); }
  bool number_integer(number_integer_t) override { return this->OnOddValue(); }
  bool number_float(number_float_t, const string_t&) override {
    return this->OnOddValue();
  }
  bool binary(binary_t&) override { return false; }

  bool number_unsigned(number_unsigned_t value) override {
    if (this->At(Place::kChoice, Key::kIndex)) {
      return value == 0;
    }
    const auto number = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        value, std::numeric_limits<std::uint32_t>::max()));
    if (this->At(Place::kUsage, Key::kPromptTokens)) {
      this->part.usage->prompt_tokens = number;
    } else if (this->At(Place::kUsage, Key::kCompletionTokens)) {
      this->part.usage->output_tokens = number;
    } else if (this->At(Place::kUsageDetails, Key::kCachedTokens)) {
      this->part.usage->cached_tokens = number;
    } else {
      return this->OnOddValue();
    }
    return true;
  }

  bool string(string_t& value) override {
    if (this->At(Place::kDelta, Key::kContent)) {
      this->delta_text = std::move(value);
    } else if (this->At(Place::kChoice, Key::kText)) {
      this->choice_text = std::move(value);
    } else if (this->At(Place::kChoice, Key::kFinishReason)) {
      this->part.reason = ValueOf(protocol::kFinishReasonNames, value);
      return this->part.reason.has_value();
    } else {
      return this->OnOddValue();
    }
    return true;
  }

  bool key(string_t& name) override {
    this->last_key = ValueOf(kKeyNames, name).value_or(Key::kOther);
    if (this->place != Place::kEvent && this->place != Place::kChoice &&
        this->place != Place::kDelta && this->place != Place::kUsage &&
        this->place != Place::kUsageDetails) {
      return true;
    }
    // A member that stands twice has no one meaning.
    const std::uint32_t bit = 1U << static_cast<unsigned>(this->last_key);
    const bool twice = this->last_key != Key::kOther && (this->seen & bit) != 0;
    this->seen |= bit;
    return !twice && !this->At(Place::kEvent, Key::kError);
  }

  bool start_object(std::size_t) override {
    if (this->place == Place::kOutside) {
      return this->Enter(Place::kEvent);
    }
    if (this->place == Place::kChoices) {
      return ++this->choices == 1 && this->Enter(Place::kChoice);
    }
    if (this->At(Place::kChoice, Key::kDelta)) {
      this->has_delta = true;
      return this->Enter(Place::kDelta);
    }
    if (this->At(Place::kEvent, Key::kUsage)) {
      this->part.usage.emplace();
      return this->Enter(Place::kUsage);
    }
    if (this->At(Place::kUsage, Key::kPromptTokensDetails)) {
      return this->Enter(Place::kUsageDetails);
    }
    return this->OnOddValue() && this->Enter(Place::kSkipped);
  }

  bool start_array(std::size_t) override {
    if (this->At(Place::kEvent, Key::kChoices)) {
      return this->Enter(Place::kChoices);
    }
    return this->OnOddValue() && this->Enter(Place::kSkipped);
  }

  bool end_object() override { return this->Leave(); }
  bool end_array() override { return this->Leave(); }

  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool At(Place wanted, Key key) const {
    return this->place == wanted && this->last_key == key;
  }

  // An event is an object, and choices are objects.
  bool TakesValue() const {
    return this->place != Place::kOutside && this->place != Place::kChoices;
  }

  // A value that reads as the empty one, but for these.
  bool OnOddValue() const {
    return this->TakesValue() &&
           !this->At(Place::kChoice, Key::kFinishReason) &&
           !this->At(Place::kEvent, Key::kChoices);
  }

  bool Enter(Place next) {
    this->outer.push_back(this->place);
    this->place = next;
    return true;
  }

  bool Leave() {
    this->place = this->outer.back();
    this->outer.pop_back();
    return true;
  }

  Place place = Place::kOutside;
  std::vector<Place> outer;  // the places around `place`
  Key last_key = Key::kOther;
  std::uint32_t seen = 0;  // keys, as bits
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
