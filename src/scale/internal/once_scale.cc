#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "once/claim_coordinator.h"
#include "scale/internal/sections.h"

namespace acacialug::scale {
namespace {

constexpr std::size_t kClaimsPerBatch = 4;

once::Claim MakeClaim(RandomSource& random) {
  return {.key = {random.Next(), random.Next()},
          .fingerprint = random.Next(),
          .id = random.Next(),
          .home = {EndpointId("runner-" + std::to_string(random.Below(12000))),
                   Incarnation(random.Next())}};
}

std::vector<std::string> Batches(std::size_t claims) {
  RandomSource random(7);
  std::vector<std::string> payloads;
  for (std::size_t i = 0; i < claims / kClaimsPerBatch; ++i) {
    once::ClaimBatch batch{.id = random.Next()};
    for (std::size_t j = 0; j < kClaimsPerBatch; ++j) {
      batch.claims.push_back(MakeClaim(random));
    }
    payloads.push_back(EncodeBatch(batch));
  }
  return payloads;
}

struct BookCost {
  double microseconds = 0;
  double heap_bytes = 0;
  double log_bytes = 0;
};

BookCost Read(std::size_t claims) {
  const std::vector<std::string> payloads = Batches(claims);
  BookCost cost;
  const double heap = HeapBytes();
  const double begin = ThreadMicroseconds();
  once::ClaimTable table({});
  std::uint64_t offset = 1;
  for (const std::string& payload : payloads) {
    table.Apply(LogOffset(offset++), payload, Instant(1h));
    cost.log_bytes += static_cast<double>(payload.size());
  }
  cost.microseconds = ThreadMicroseconds() - begin;
  cost.heap_bytes = HeapBytes() - heap;
  return cost;
}

Sweep ByClaims(std::string quantity,
               std::string unit,
               double BookCost::*member) {
  return {.quantity = std::move(quantity),
          .unit = std::move(unit),
          .x = "claims read, 4 a batch",
          .xs = {4000, 8000, 16000, 32000},
          .measure = [member](std::size_t x) { return Read(x).*member; }};
}

// Appends per second of one process over 10 s, at `rate` claims a second and
// with a log that answers at once. Not linear in the rate: it reaches 50 at
// most.
double AppendsPerSecond(std::size_t rate) {
  constexpr std::size_t kSeconds = 10;
  RandomSource random(11);
  once::ClaimCoordinator coordinator({}, random);
  Instant now(1h);
  coordinator.Start(now);
  coordinator.OnRead(cluster::ILog::Read{}, now);
  std::uint64_t offset = 1;
  std::uint64_t token = 1;
  const auto answer = [&] {
    for (const once::CoordinatorAction& action : coordinator.TakeActions()) {
      if (const auto* append = std::get_if<once::AppendBatch>(&action)) {
        coordinator.OnAppended(append->batch, LogOffset(offset++), now);
      }
    }
  };
  const Instant end = now + Duration(1s) * kSeconds;
  Instant next_claim = now;
  while (now < end) {
    now = std::min({end, next_claim, coordinator.next_timer()});
    if (coordinator.next_timer() <= now) {
      coordinator.OnTimer(now);
    }
    if (now == next_claim) {
      coordinator.Request(once::ClaimToken(token++), MakeClaim(random), now);
      next_claim +=
          FromSeconds(random.Exponential(1.0 / static_cast<double>(rate))) +
          1us;
    }
    answer();
  }
  // Divides by the number of claims that were drawn, not by the nominal rate.
  const auto claims = static_cast<double>(token - 1);
  return static_cast<double>(coordinator.appends()) / claims *
         static_cast<double>(rate);
}

}  // namespace

std::vector<Sweep> OnceSweeps() {
  return {ByClaims("once.claim_read_cpu", "us", &BookCost::microseconds),
          ByClaims("once.claim_memory", "bytes", &BookCost::heap_bytes),
          ByClaims("once.claim_log_bytes", "bytes", &BookCost::log_bytes),
          {"once.appends",
           "appends a second",
           "claims a second at one process, committed every 20 ms",
           {1, 5, 20, 100, 500},
           AppendsPerSecond,
           1}};
}

}  // namespace acacialug::scale
