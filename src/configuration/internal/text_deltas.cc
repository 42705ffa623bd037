#include "configuration/text_deltas.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace acacialug::configuration {
namespace {

using Lines = std::vector<std::string_view>;

// Each line includes its line end; the last line may have none.
Lines SplitLines(std::string_view text) {
  Lines lines;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::size_t size =
        end == std::string_view::npos ? text.size() : end + 1;
    lines.push_back(text.substr(0, size));
    text.remove_prefix(size);
  }
  return lines;
}

// Decides for each line of the target whether it continues the last copy,
// begins a copy at a line that occurs once in the base, or is new.
class DeltaMaker {
 public:
  DeltaMaker(const Lines& base_lines, const Lines& target_lines)
      : base(base_lines), target(target_lines) {
    for (std::size_t i = 0; i < this->base.size(); ++i) {
      const auto [entry, is_new] = this->unique.emplace(this->base[i], i);
      if (!is_new) {
        entry->second = std::nullopt;
      }
    }
  }

  std::vector<DeltaStep> Make() {
    for (std::size_t i = 0; i < this->target.size(); ++i) {
      this->Take(i);
    }
    this->Flush(this->target.size());
    return std::move(this->steps);
  }

 private:
  void Take(std::size_t line) {
    const std::size_t next = this->copy.first + this->copy.count;
    if (this->fresh == line && next < this->base.size() &&
        this->base[next] == this->target[line]) {
      ++this->copy.count;
      ++this->fresh;
      return;
    }
    const auto found = this->unique.find(this->target[line]);
    if (found != this->unique.end() && found->second) {
      this->BeginCopy(*found->second, line);
    }
  }

  // Preceding lines that were treated as new, and that also precede the line in
  // the base, belong to the copy: all tables have the same heading.
  void BeginCopy(std::size_t base_line, std::size_t line) {
    std::size_t back = 0;
    while (back < base_line && line - back > this->fresh &&
           this->base[base_line - back - 1] == this->target[line - back - 1]) {
      ++back;
    }
    this->Flush(line - back);
    this->copy = {.first = base_line - back, .count = back + 1};
    this->fresh = line + 1;
  }

  // Adds the steps for the open copy and for the new lines after it up to
  // `end`.
  void Flush(std::size_t end) {
    if (this->copy.count > 0) {
      this->steps.emplace_back(this->copy);
    }
    std::string text;
    for (std::size_t i = this->fresh; i < end; ++i) {
      text += this->target[i];
    }
    if (!text.empty()) {
      this->steps.emplace_back(std::move(text));
    }
  }

  const Lines& base;
  const Lines& target;
  std::unordered_map<std::string_view, std::optional<std::size_t>> unique;
  std::vector<DeltaStep> steps;
  CopyLines copy;         // the open copy, not yet added to the steps
  std::size_t fresh = 0;  // first line of the target after `copy`
};

}  // namespace

TextDigest DigestOf(std::string_view text) {
  const XXH128_hash_t digest = XXH3_128bits(text.data(), text.size());
  return {.high = digest.high64, .low = digest.low64};
}

TextDelta MakeDelta(std::string_view base, std::string_view target) {
  const Lines base_lines = SplitLines(base);
  const Lines target_lines = SplitLines(target);
  return {.steps = DeltaMaker(base_lines, target_lines).Make(),
          .digest = DigestOf(target)};
}

Result<std::string> ApplyDelta(std::string_view base, const TextDelta& delta) {
  const Lines lines = SplitLines(base);
  std::string text;
  for (const DeltaStep& step : delta.steps) {
    std::string_view piece;
    if (const auto* copy = std::get_if<CopyLines>(&step)) {
      if (copy->count == 0 || copy->first >= lines.size() ||
          copy->count > lines.size() - copy->first) {
        return Error(ResultCode::kManifestInvalid, "delta: no such lines");
      }
      const char* const begin = lines[copy->first].data();
      const std::string_view last = lines[copy->first + copy->count - 1];
      piece = {begin,
               static_cast<std::size_t>(last.data() + last.size() - begin)};
    } else {
      piece = std::get<std::string>(step);
    }
    // Checked before copying: a few steps could repeat the same lines.
    if (piece.size() > kLongestDeltaText - text.size()) {
      return Error(ResultCode::kManifestInvalid, "delta: text too long");
    }
    text += piece;
  }
  if (DigestOf(text) != delta.digest) {
    return Error(ResultCode::kManifestInvalid, "delta: digest differs");
  }
  return text;
}

}  // namespace acacialug::configuration
