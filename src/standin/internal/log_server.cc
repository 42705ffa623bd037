#include <QByteArray>
#include <QTimer>
#include <map>
#include <memory>
#include <utility>

#include "standin/internal/json_access.h"
#include "standin/internal/json_response.h"
#include "standin/internal/platform_shell.h"
#include "standin/internal/query.h"
#include "standin/internal/timer_wait.h"
#include "standin/platform_server.h"

namespace acacialug::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kStreams = "/streams/";
constexpr std::string_view kRecords = "/records";
constexpr std::uint64_t kDefaultLimit = 1000;

// NAME of /streams/NAME/records; empty for any other path.
std::string StreamOf(std::string_view path) {
  if (!path.starts_with(kStreams) || !path.ends_with(kRecords) ||
      path.size() <= kStreams.size() + kRecords.size()) {
    return {};
  }
  path.remove_prefix(kStreams.size());
  path.remove_suffix(kRecords.size());
  return std::string(path);
}

http::Response ReadResponse(const cluster::ILog::Read& read) {
  json records = json::array();
  for (const cluster::ILog::Record& record : read.records) {
    records.push_back(
        {{"offset", record.offset.value},
         {"payload",
          QByteArray::fromStdString(record.payload).toBase64().toStdString()}});
  }
  return JsonResponse(200, {{"first_kept", read.first_kept.value},
                            {"next", read.next.value},
                            {"records", std::move(records)}});
}

http::Response FailedResponse(const Error& error) {
  return error.result_code() == ResultCode::kInvalidParameter
             ? ErrorResponse(413, "too_large", error.detail)
             : ErrorResponse(503, "unavailable", error.detail);
}

}  // namespace

class LogServer::Implementation {
 public:
  explicit Implementation(const LogServerOptions& options)
      : model(options.log),
        shell({.listen = options.listen,
               .seed = options.seed,
               .on_request =
                   [this](const http::Request& request, const Reply& reply) {
                     this->Route(request, reply);
                   },
               .on_control =
                   [this](const json& control) { this->Control(control); }}) {}

  void Route(const http::Request& request, const Reply& reply) {
    const std::string stream = StreamOf(request.Path());
    if (stream.empty()) {
      this->shell.Answer(reply, ErrorResponse(404, "not_found", "no route"));
    } else if (request.method == "POST") {
      this->Append(stream, request.body, reply);
    } else {
      this->Read(
          {.stream = stream,
           .from = QueryNumber(request.target, "from", 1),
           .limit = QueryNumber(request.target, "limit", kDefaultLimit),
           .reply = reply},
          std::chrono::milliseconds(QueryNumber(request.target, "wait_ms", 0)));
    }
  }

  void Append(const std::string& stream,
              const std::string& payload,
              const Reply& reply) {
    const Result<LogOffset> offset =
        this->model.Append(stream, payload, MonotonicNow());
    if (!offset) {
      // An error means that nothing was appended, so that it is never lost.
      reply(FailedResponse(offset.error()));
      return;
    }
    this->shell.Answer(reply, JsonResponse(200, {{"offset", offset->value}}));
    this->WakeReaders(stream);
  }

  struct Reader {
    std::string stream;
    std::uint64_t from = 1;
    std::uint64_t limit = 1;
    Reply reply;
  };

  void Read(Reader reader, Duration wait) {
    const Result<cluster::ILog::Read> read = this->model.ReadFrom(
        reader.stream, LogOffset(reader.from), reader.limit, MonotonicNow());
    if (!read) {
      reader.reply(FailedResponse(read.error()));
      return;
    }
    if (!read->records.empty() || wait == Duration::zero()) {
      this->shell.Answer(reader.reply, ReadResponse(*read));
      return;
    }
    const std::uint64_t id = ++this->last_reader;
    this->readers.emplace(id, std::move(reader));
    QTimer::singleShot(TimerWait(Instant(wait), Instant()), &this->context,
                       [this, id] { this->Wake(id); });
  }

  void Wake(std::uint64_t id) {
    if (auto taken = this->readers.extract(id)) {
      this->Read(std::move(taken.mapped()), Duration::zero());
    }
  }

  void WakeReaders(const std::string& stream) {
    std::vector<std::uint64_t> woken;
    for (const auto& [id, reader] : this->readers) {
      if (reader.stream == stream) {
        woken.push_back(id);
      }
    }
    for (const std::uint64_t id : woken) {
      this->Wake(id);
    }
  }

  void Control(const json& control) {
    this->model.SetOutage(this->shell.outage());
    LogOptions kept = this->model.log_options();
    kept.retain_records = static_cast<std::uint64_t>(
        IntegerOr(control, "retain_records",
                  static_cast<std::int64_t>(kept.retain_records)));
    kept.retain_age = std::chrono::milliseconds(
        IntegerOr(control, "retain_ms", kept.retain_age / 1ms));
    kept.appends_per_second =
        NumberOr(control, "appends_per_second", kept.appends_per_second);
    this->model.SetOptions(kept);
  }

  LogModel model;
  std::map<std::uint64_t, Reader> readers;  // that wait for a record
  std::uint64_t last_reader = 0;
  QObject context;  // of timers: none fires after this object is gone
  PlatformShell shell;
};

LogServer::LogServer(const LogServerOptions& options)
    : implementation(std::make_unique<Implementation>(options)) {}

LogServer::~LogServer() = default;

Status LogServer::Start() {
  return this->implementation->shell.Start();
}

http::Address LogServer::address() const {
  return this->implementation->shell.address();
}

}  // namespace acacialug::standin
