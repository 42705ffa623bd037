#ifndef GATEWAY_ARRIVAL_COUNT_H_
#define GATEWAY_ARRIVAL_COUNT_H_

#include <cstdint>

namespace acacialug::gateway {

// Counts the messages that carry one request to endpoints. Each of them is an
// arrival, rejected or not, except the first prefill that an endpoint accepts;
// arrivals beyond the first are repeats, which the repeat budget must cover.
// Not thread safe.
class ArrivalCount {
 public:
  // A message was sent, which may arrive.
  void NoteSent() { ++this->arrivals; }
  // The latest message provably did not arrive. Precondition: one was sent.
  void NoteNotArrived() { --this->arrivals; }
  // The latest message was a prefill that an endpoint accepted. Precondition:
  // one was sent.
  void NotePrefillAccepted();
  // The budget covers this many more repeats of the request.
  void NoteCovered(std::uint32_t repeats) { this->covered += repeats; }

  // Repeats to cover before the request is sent to run somewhere.
  std::uint32_t UncoveredByRun() const { return this->UncoveredBy(1); }
  // Repeats to cover before a prefill and the run that follows it.
  std::uint32_t UncoveredByPrefillAndRun() const;

  // The repeats so far, and those that the budget does not cover.
  std::uint32_t repeats() const {
    return this->arrivals > 1 ? this->arrivals - 1 : 0;
  }
  std::uint32_t uncovered() const { return this->UncoveredBy(0); }

 private:
  std::uint32_t UncoveredBy(std::uint32_t more_messages) const;

  std::uint32_t arrivals = 0;
  std::uint32_t covered = 0;
  bool prefill_accepted = false;
};

}  // namespace acacialug::gateway

#endif  // GATEWAY_ARRIVAL_COUNT_H_
