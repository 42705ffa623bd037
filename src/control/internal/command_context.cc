#include "control/internal/command_context.h"

#include <QEventLoop>
#include <QTimer>
#include <fstream>
#include <sstream>
#include <utility>

#include "configuration_client/configuration_client.h"

namespace acacialug::control {
namespace {

constexpr int kLookMilliseconds = 5;

// Runs the event loop until `done` or until the time is over.
bool WaitOnEventLoop(const std::function<bool()>& done, Duration time) {
  const Instant until = MonotonicNow() + time;
  while (!done()) {
    if (MonotonicNow() >= until) {
      return false;
    }
    QEventLoop loop;
    QTimer::singleShot(kLookMilliseconds, &loop, &QEventLoop::quit);
    loop.exec();
  }
  return true;
}

std::string Line(const Error& error) {
  const ResultCode code = error.result_code();
  return std::to_string(static_cast<int>(code)) + " " +
         std::string(ResultCodeName(code)) + ": " +
         (error.detail.empty() ? std::string(ResultCodeMeaning(code))
                               : error.detail);
}

CommandExit ExitOf(ResultCode code) {
  switch (code) {
    case ResultCode::kUnknownRequest:
      return CommandExit::kNotFound;
    case ResultCode::kNotAllowed:
      return CommandExit::kRefused;
    case ResultCode::kManifestConflict:
      return CommandExit::kConflict;
    case ResultCode::kPlatformUnavailable:
    case ResultCode::kPlatformBadAnswer:
    case ResultCode::kManifestStale:
      return CommandExit::kUnavailable;
    case ResultCode::kAppendUnresolved:
      return CommandExit::kUnresolved;
    default:
      break;
  }
  const int number = static_cast<int>(code);
  const bool is_manifest = number >= 6000 && number < 7000;
  return is_manifest ? CommandExit::kInvalid : CommandExit::kFailed;
}

}  // namespace

CommandContext::CommandContext(const CommandOptions& command_options)
    : options(command_options), random(RandomSource::FromSystem()) {}

Publisher* CommandContext::OpenLog() {
  const std::optional<http::Address> address =
      http::ParseAddress(this->options.log);
  if (!address) {
    this->Complain(CommandExit::kUsage, "--log: expected IP:PORT, found \"" +
                                            this->options.log + "\"");
    return nullptr;
  }
  this->client = std::make_unique<http::Client>(http::ClientOptions{});
  this->log = std::make_unique<cluster::HttpLog>(*address, *this->client);
  this->publisher = std::make_unique<Publisher>(
      PublisherOptions{
          .stream = std::string(configuration_client::kConfigurationStream),
          .publisher = this->options.publisher,
          .as_delta = this->options.as_delta,
          .wait = WaitOnEventLoop},
      *this->log, this->random);
  return this->publisher.get();
}

std::vector<http::Address> CommandContext::Nodes() const {
  std::vector<http::Address> addresses;
  for (const std::string& node : this->options.nodes) {
    const std::optional<http::Address> address = http::ParseAddress(node);
    if (!address) {
      this->Complain(CommandExit::kUsage,
                     "--nodes: expected IP:PORT, found \"" + node + "\"");
      return {};
    }
    addresses.push_back(*address);
  }
  if (addresses.empty()) {
    this->Complain(CommandExit::kUsage,
                   "--nodes: expected at least one IP:PORT");
  }
  return addresses;
}

std::optional<std::string> CommandContext::ReadFile(
    const std::string& path) const {
  std::ifstream file(path);
  if (!file) {
    this->Complain(Error(ResultCode::kSettingsUnreadable, path));
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int CommandContext::Complain(const Error& error) const {
  this->options.complain(Line(error) + "\n");
  return static_cast<int>(ExitOf(error.result_code()));
}

int CommandContext::Complain(const http::Address& node,
                             const Error& error) const {
  this->options.complain(http::ToString(node) + ": " + Line(error) + "\n");
  return static_cast<int>(ExitOf(error.result_code()));
}

std::vector<NodeAnswer> CommandContext::AskAll(
    const std::vector<http::Address>& nodes,
    const std::string& path) const {
  std::vector<NodeQuestion> questions;
  questions.reserve(nodes.size());
  for (const http::Address& node : nodes) {
    questions.push_back({.address = node, .path = path});
  }
  return AskNodes(questions,
                  {.timeout = this->options.timeout,
                   .max_answer_bytes = this->options.max_answer_bytes});
}

int CommandContext::Complain(CommandExit exit, const std::string& text) const {
  this->options.complain(text + "\n");
  return static_cast<int>(exit);
}

}  // namespace acacialug::control
