#include "control/internal/command_context.h"

#include <QEventLoop>
#include <QTimer>
#include <fstream>
#include <sstream>
#include <utility>

#include "configuration_client/configuration_client.h"

namespace acacialug::control {
namespace {

constexpr int kPollMilliseconds = 5;

// Runs the event loop until `done` returns true or `time` has elapsed.
bool WaitOnEventLoop(const std::function<bool()>& done, Duration time) {
  const Instant until = MonotonicNow() + time;
  while (!done()) {
    if (MonotonicNow() >= until) {
      return false;
    }
    QEventLoop loop;
    QTimer::singleShot(kPollMilliseconds, &loop, &QEventLoop::quit);
    loop.exec();
  }
  return true;
}

std::string ErrorLine(const Error& error) {
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
    this->PrintError(CommandExit::kUsage, "--log: expected IP:PORT, found \"" +
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
      this->PrintError(CommandExit::kUsage,
                       "--nodes: expected IP:PORT, found \"" + node + "\"");
      return {};
    }
    addresses.push_back(*address);
  }
  if (addresses.empty()) {
    this->PrintError(CommandExit::kUsage,
                     "--nodes: expected at least one IP:PORT");
  }
  return addresses;
}

std::optional<std::string> CommandContext::ReadFile(
    const std::string& path) const {
  std::ifstream file(path);
  if (!file) {
    this->PrintError(Error(ResultCode::kSettingsUnreadable, path));
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int CommandContext::PrintError(const Error& error) const {
  this->options.print_error(ErrorLine(error) + "\n");
  return static_cast<int>(ExitOf(error.result_code()));
}

int CommandContext::PrintError(const http::Address& node,
                               const Error& error) const {
  this->options.print_error(http::ToString(node) + ": " + ErrorLine(error) +
                            "\n");
  return static_cast<int>(ExitOf(error.result_code()));
}

std::vector<NodeAnswer> CommandContext::QueryAll(
    const std::vector<http::Address>& nodes,
    const std::string& path) const {
  std::vector<NodeRequest> node_requests;
  node_requests.reserve(nodes.size());
  for (const http::Address& node : nodes) {
    node_requests.push_back({.address = node, .path = path});
  }
  return QueryNodes(node_requests,
                    {.timeout = this->options.timeout,
                     .max_answer_bytes = this->options.max_answer_bytes});
}

int CommandContext::PrintError(CommandExit exit,
                               const std::string& text) const {
  this->options.print_error(text + "\n");
  return static_cast<int>(exit);
}

}  // namespace acacialug::control
