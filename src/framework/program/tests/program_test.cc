#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <csignal>
#include <string>
#include <vector>

#include "framework/program/internal/help_page.h"
#include "framework/program/signal_watcher.h"
#include "framework/testing/story.h"

namespace acacialug::program {
namespace {

using testing::It;

// Runs the event loop until `done`, bounded by a timer that fails the test.
void RunUntil(const std::function<bool()>& done) {
  QTimer limit;
  limit.setSingleShot(true);
  limit.start(std::chrono::seconds(20));
  while (!done() && limit.isActive()) {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  CPPUNIT_ASSERT(done());
}

const testing::Story kSignals(
    "a signal watcher",
    {It("calls back from the event loop, counting terminations",
        [] {
          std::vector<int> counts;
          int reloads = 0;
          const SignalWatcher watcher(
              {.on_terminate = [&](int count) { counts.push_back(count); },
               .on_reload = [&] { ++reloads; }});
          std::raise(SIGTERM);
          std::raise(SIGHUP);
          std::raise(SIGINT);
          CPPUNIT_ASSERT(counts.empty() && reloads == 0);
          RunUntil([&] { return counts.size() == 2 && reloads == 1; });
          CPPUNIT_ASSERT(counts == (std::vector<int>{1, 2}));
        }),
     It("gives signals their former handlers back, and watches anew", [] {
       struct sigaction before {};
       sigaction(SIGTERM, nullptr, &before);
       { const SignalWatcher watcher({}); }
       struct sigaction after {};
       sigaction(SIGTERM, nullptr, &after);
       CPPUNIT_ASSERT(before.sa_handler == after.sa_handler);
       int reloads = 0;
       const SignalWatcher watcher({.on_reload = [&] { ++reloads; }});
       std::raise(SIGHUP);
       RunUntil([&] { return reloads == 1; });
     })});

const testing::Story kHelp(
    "a help page",
    {It("is laid out as a manual page within 80 columns", [] {
      const ProgramOptions options{
          .name = "acacialug-sample",
          .summary = "a sample",
          .synopsis = "--config FILE",
          .description = "Does one thing.\n\nAnd another.",
          .more_exit_codes = {{7, "nothing left"}},
          .load_settings = [](const std::string&) {
            return std::vector<settings::Problem>{};
          }};
      const std::string meaning =
          "a text so long that it needs a second line to stand on, since "
          "the first has no more than eighty columns";
      const std::string expected =
          "NAME\n"
          "       acacialug-sample - a sample\n"
          "\n"
          "SYNOPSIS\n"
          "       acacialug-sample --config FILE\n"
          "\n"
          "DESCRIPTION\n"
          "       Does one thing.\n"
          "\n"
          "       And another.\n"
          "\n"
          "FLAGS\n"
          "       --rate=double\n"
          "              a text so long that it needs a second line to "
          "stand on, since the\n"
          "              first has no more than eighty columns (default: "
          "2.5)\n"
          "       --quick\n"
          "              short\n"
          "\n"
          "EXIT CODES\n"
          "       0      success\n"
          "       1      failure; with --check: the settings have "
          "problems\n"
          "       2      the command line cannot be read\n"
          "       3      the settings have problems\n"
          "       7      nothing left\n";
      CPPUNIT_ASSERT_EQUAL(
          expected,
          internal::HelpPage(options, {{"rate", "double", "2.5", meaning},
                                       {"quick", "bool", "", "short"}}));
    })});

}  // namespace
}  // namespace acacialug::program
