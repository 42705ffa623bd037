#include "entry_process/manifest_source.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QTemporaryDir>
#include <cstdio>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "configuration/tests/manifest_texts.h"
#include "entry_process/tests/fake_log.h"
#include "framework/http/tests/socket_support.h"
#include "framework/testing/story.h"

namespace acacialug::entry_process {
namespace {

using testing::It;
using testing::WaitUntil;

cluster::ILog::Read OneRecord(std::uint64_t offset,
                              std::uint64_t next,
                              std::string payload) {
  return {.first_kept = LogOffset(1),
          .next = LogOffset(next),
          .records = {
              {.offset = LogOffset(offset), .payload = std::move(payload)}}};
}

struct Fixture {
  RandomSource random{1};
  FakeLog* log = nullptr;
  std::vector<std::string> versions;

  ManifestSource::Options Options(const std::string& file) {
    auto owned = std::make_unique<FakeLog>();
    this->log = owned.get();
    return {.file = file,
            .log = std::move(owned),
            .author = "entry-1",
            .on_manifest =
                [this](const std::shared_ptr<const manifest::Manifest>& newest,
                       const std::string&) {
                  this->versions.push_back(newest->version);
                }};
  }
};

const testing::Story kSources(
    "the source of an entry's manifests",
    {// Guards against a restarted entry that sends work to endpoints that left
     // long ago: it reads the log from the beginning and serves with each
     // manifest as it arrives, although a few records later another manifest
     // may replace it.
     It("passes on nothing until the log is read to its end",
        [] {
          Fixture fixture;
          ManifestSource source(fixture.Options(""), fixture.random);
          CPPUNIT_ASSERT(source.Start().ok());
          std::exchange(fixture.log->read_done, {})(
              OneRecord(1, 3, configuration::testing_texts::Publish("v1", 0)));
          WaitUntil("the next read", [&] { return !!fixture.log->read_done; });
          CPPUNIT_ASSERT(fixture.versions.empty());
          std::exchange(fixture.log->read_done, {})(
              OneRecord(2, 3, configuration::testing_texts::Publish("v2", 1)));
          WaitUntil("a manifest", [&] { return !fixture.versions.empty(); });
          CPPUNIT_ASSERT(fixture.versions == std::vector<std::string>{"v2"});
        }),
     It("reads a file, and keeps what it had when the next is faulty", [] {
       const QTemporaryDir folder;
       const std::string path = folder.filePath("manifest.toml").toStdString();
       const auto write = [&path](const std::string& text) {
         std::ofstream(path) << text;
       };
       write(configuration::testing_texts::ManifestText("f1", 0));
       Fixture fixture;
       ManifestSource source(fixture.Options(path), fixture.random);
       CPPUNIT_ASSERT(source.Start().ok());
       write("version = ");
       CPPUNIT_ASSERT(source.Reload().error().result_code() ==
                      ResultCode::kSettingsSyntax);
       std::remove(path.c_str());
       CPPUNIT_ASSERT(source.Reload().error().result_code() ==
                      ResultCode::kSettingsUnreadable);
       CPPUNIT_ASSERT(fixture.versions == std::vector<std::string>{"f1"});
     })});

}  // namespace
}  // namespace acacialug::entry_process
