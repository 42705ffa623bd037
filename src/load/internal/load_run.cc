#include "load/load_run.h"

#include <QTimer>
#include <algorithm>
#include <chrono>
#include <utility>

#include "framework/global/random_source.h"
#include "load/internal/call_exchange.h"
#include "load/internal/exchange_context.h"
#include "load/internal/generation_exchange.h"
#include "load/internal/stand_in_reader.h"
#include "load/workload.h"

namespace acacialug::load {
namespace {

// How long a balancer skips an entry that it could not reach.
constexpr Duration kUnreachableRest = 500ms;
constexpr Duration kDrainCheckInterval = 20ms;

std::chrono::milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(duration, Duration::zero()));
}

}  // namespace

class LoadRun::Implementation {
 public:
  Implementation(LoadPlan load_plan,
                 std::function<void(const LoadReport&)> done)
      : plan(std::move(load_plan)),
        on_done(std::move(done)),
        random(this->plan.seed),
        workload(this->plan, this->random),
        // Streams of a busy engine may pause for a long time; the drain limit
        // ends those that hang.
        client({.silence_timeout = 0s, .max_idle_connections = 4096}),
        accounting(this->plan),
        context{.plan = this->plan,
                .client = this->client,
                .accounting = this->accounting,
                .entries = {this->plan.entries, kUnreachableRest},
                .direct_prefill = {this->plan.direct.prefill, kUnreachableRest},
                .direct_decode = {this->plan.direct.decode, kUnreachableRest},
                .direct_plain = {this->plan.direct.plain, kUnreachableRest}},
        stand_ins(this->plan) {}

  void Start() {
    this->stand_ins.Read([this](const StandInTotals& totals) {
      this->before = totals;
      this->Begin();
    });
  }

  void Stop() { this->stopped = true; }

 private:
  void Begin() {
    this->begun = MonotonicNow();
    this->arrival = this->begun + this->workload.NextGap();
    this->accounting.SetMeasured(
        this->begun + this->plan.warm_up,
        this->begun + this->plan.warm_up + this->plan.duration);
    this->PrepareNext();
    this->timer.setTimerType(Qt::PreciseTimer);
    this->timer.setSingleShot(true);
    QObject::connect(&this->timer, &QTimer::timeout,
                     [this] { this->OnArrivalTime(); });
    this->WaitForArrival();
  }

  Instant SendingEnds() const {
    return this->begun + this->plan.warm_up + this->plan.duration +
           this->plan.tail;
  }

  // Draws the next request and creates its body ahead of its arrival.
  void PrepareNext() {
    RequestSpec spec = this->workload.NextRequest();
    const Instant measured_from = this->begun + this->plan.warm_up;
    spec.measured = this->arrival >= measured_from &&
                    this->arrival < measured_from + this->plan.duration;
    spec.direct = this->plan.direct.enabled() && this->drawn++ % 2 == 1;
    // Without the router a key may run more than once.
    spec.submitted_twice = spec.submitted_twice && !spec.direct;
    this->next_generation.reset();
    this->next_call.reset();
    if (spec.generation) {
      this->next_generation =
          std::make_shared<GenerationExchange>(this->context, std::move(spec));
    } else {
      this->next_call =
          std::make_shared<CallExchange>(this->context, std::move(spec));
    }
  }

  void WaitForArrival() {
    if (this->stopped || this->arrival >= this->SendingEnds()) {
      this->drain_ends = MonotonicNow() + this->plan.drain_limit;
      this->Drain();
      return;
    }
    this->timer.start(ToMilliseconds(this->arrival - MonotonicNow()));
  }

  void OnArrivalTime() {
    const Instant now = MonotonicNow();
    while (this->arrival <= now && this->arrival < this->SendingEnds()) {
      if (this->accounting.outstanding() < this->plan.max_outstanding) {
        this->SendPrepared();
      }
      this->arrival += this->workload.NextGap();
      this->PrepareNext();
    }
    this->WaitForArrival();
  }

  void SendPrepared() {
    this->latest_send =
        std::max(this->latest_send, MonotonicNow() - this->arrival);
    if (this->next_generation) {
      this->next_generation->Start(this->arrival);
    } else {
      this->next_call->Start(this->arrival);
    }
  }

  void Drain() {
    if (this->accounting.outstanding() > 0 &&
        MonotonicNow() < this->drain_ends) {
      QTimer::singleShot(ToMilliseconds(kDrainCheckInterval),
                         [this] { this->Drain(); });
      return;
    }
    QTimer::singleShot(ToMilliseconds(this->plan.settle), [this] {
      this->stand_ins.Read(
          [this](const StandInTotals& after) { this->Report(after); });
    });
  }

  void Report(const StandInTotals& after) {
    LoadReport report;
    report.figures = this->accounting.Sum();
    report.stand_ins = Difference(this->before, after);
    report.latest_send = this->latest_send;
    report.violations = this->context.violations;
    if (after.executions) {
      const std::vector<Violation> found =
          CheckExecutions(this->context.calls, *after.executions);
      report.violations.insert(report.violations.end(), found.begin(),
                               found.end());
    }
    this->on_done(report);
  }

  LoadPlan plan;
  std::function<void(const LoadReport&)> on_done;
  RandomSource random;
  Workload workload;
  http::Client client;
  Accounting accounting;
  ExchangeContext context;
  StandInReader stand_ins;
  QTimer timer;
  StandInTotals before;
  Instant begun;
  Instant arrival;
  Instant drain_ends;
  Duration latest_send{};
  std::uint64_t drawn = 0;
  bool stopped = false;
  std::shared_ptr<GenerationExchange> next_generation;
  std::shared_ptr<CallExchange> next_call;
};

LoadRun::LoadRun(LoadPlan plan, std::function<void(const LoadReport&)> on_done)
    : implementation(std::make_unique<Implementation>(std::move(plan),
                                                      std::move(on_done))) {}

LoadRun::~LoadRun() = default;

void LoadRun::Start() {
  this->implementation->Start();
}

void LoadRun::Stop() {
  this->implementation->Stop();
}

}  // namespace acacialug::load
