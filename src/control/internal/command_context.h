#ifndef CONTROL_INTERNAL_COMMAND_CONTEXT_H_
#define CONTROL_INTERNAL_COMMAND_CONTEXT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/http_log.h"
#include "control/commands.h"
#include "control/publisher.h"
#include "control/scraper.h"
#include "framework/http/http_client.h"

namespace acacialug::control {

// State that commands share: the log of --log and the output of errors.
class CommandContext {
 public:
  explicit CommandContext(const CommandOptions& command_options);

  const CommandOptions& options;

  // Prints an error and returns null when --log is missing or not an address.
  Publisher* OpenLog();

  // The addresses of --nodes. Prints an error and returns an empty list when
  // there is none or one of them is not an address.
  std::vector<http::Address> Nodes() const;

  // The text of a file. Prints an error and returns an empty value when the
  // file cannot be read.
  std::optional<std::string> ReadFile(const std::string& path) const;

  // Prints an error with its number; returns the matching exit code.
  int PrintError(const Error& error) const;
  int PrintError(CommandExit exit, const std::string& text) const;
  // The same for an error of one process.
  int PrintError(const http::Address& node, const Error& error) const;

  // Fetches a page from all addresses of --nodes at once.
  std::vector<NodeAnswer> QueryAll(const std::vector<http::Address>& nodes,
                                   const std::string& path) const;

 private:
  RandomSource random;
  std::unique_ptr<http::Client> client;
  std::unique_ptr<cluster::HttpLog> log;
  std::unique_ptr<Publisher> publisher;
};

// The commands of each subject; `rest` holds the words after the subject.
int RunManifestCommand(CommandContext& context,
                       const std::vector<std::string>& rest);
int RunStatusCommand(CommandContext& context,
                     const std::vector<std::string>& rest);
int RunEndpointsCommand(CommandContext& context,
                        const std::vector<std::string>& rest);
int RunRequestsCommand(CommandContext& context,
                       const std::vector<std::string>& rest);
int RunExplainCommand(CommandContext& context,
                      const std::vector<std::string>& rest);
int RunDrainCommand(CommandContext& context,
                    const std::vector<std::string>& rest);
int RunCompletionCommand(CommandContext& context,
                         const std::vector<std::string>& rest);
int RunReportCommand(CommandContext& context,
                     const std::vector<std::string>& rest);

}  // namespace acacialug::control

#endif  // CONTROL_INTERNAL_COMMAND_CONTEXT_H_
