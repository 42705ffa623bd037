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

// What commands share: the log of --log, and how errors are told.
class CommandContext {
 public:
  explicit CommandContext(const CommandOptions& command_options);

  const CommandOptions& options;

  // Null, after a complaint, when --log is missing or no address.
  Publisher* OpenLog();

  // The addresses of --nodes; empty, after a complaint, when there is none or
  // one is no address.
  std::vector<http::Address> Nodes() const;

  // The text of a file; empty, after a complaint, when it cannot be read.
  std::optional<std::string> ReadFile(const std::string& path) const;

  // Tells an error with its number; returns the exit code that fits it.
  int Complain(const Error& error) const;
  int Complain(CommandExit exit, const std::string& text) const;
  // The same, of one process.
  int Complain(const http::Address& node, const Error& error) const;

  // Asks every address of --nodes for a page at once.
  std::vector<NodeAnswer> AskAll(const std::vector<http::Address>& nodes,
                                 const std::string& path) const;

 private:
  RandomSource random;
  std::unique_ptr<http::Client> client;
  std::unique_ptr<cluster::HttpLog> log;
  std::unique_ptr<Publisher> publisher;
};

// The commands of each subject; `rest` are the words behind the subject.
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
