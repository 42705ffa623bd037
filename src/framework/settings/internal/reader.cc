#include "framework/settings/reader.h"

#include <fstream>
#include <optional>
#include <utility>

#include "framework/settings/internal/document.h"

namespace acacialug::settings {
namespace {

// Empty when the file cannot be read. At most one chunk over the limit is
// read, so that a device or a huge file takes no memory.
std::optional<std::string> ReadFile(const std::string& path) {
  constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;
  std::ifstream file(path, std::ios::binary);
  std::string text;
  while (file && text.size() <= Reader::kMaximumBytes) {
    const std::size_t size = text.size();
    text.resize(size + kChunkBytes);
    file.read(text.data() + size, kChunkBytes);
    text.resize(size + static_cast<std::size_t>(file.gcount()));
  }
  // Reading a directory sets the bad bit.
  return file.is_open() && !file.bad() ? std::optional(std::move(text))
                                       : std::nullopt;
}

}  // namespace

Reader Reader::FromFile(const std::string& path) {
  auto document = std::make_unique<internal::Document>(path);
  if (const std::optional<std::string> text = ReadFile(path)) {
    document->Parse(*text);
  } else {
    document->ReportWhole(ResultCode::kSettingsUnreadable,
                          "expected a readable file");
  }
  return Reader(std::move(document));
}

Reader Reader::FromText(std::string source, std::string_view text) {
  auto document = std::make_unique<internal::Document>(std::move(source));
  document->Parse(text);
  return Reader(std::move(document));
}

Reader::Reader(std::unique_ptr<internal::Document> parsed)
    : document(std::move(parsed)) {}
Reader::~Reader() = default;
Reader::Reader(Reader&&) noexcept = default;
Reader& Reader::operator=(Reader&&) noexcept = default;

Table Reader::Root() {
  return {this->document.get(), this->document->Root()};
}

std::vector<Problem> Reader::Finish() {
  return this->document->Finish();
}

Status Reader::FinishStatus() {
  const std::vector<Problem> problems = this->Finish();
  return problems.empty() ? Status(Success{}) : Status(ToError(problems));
}

}  // namespace acacialug::settings
