#ifndef ONCE_CLAIM_TABLE_H_
#define ONCE_CLAIM_TABLE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "framework/global/types/instant.h"
#include "once/types/claim.h"

namespace acacialug::once {

// The holder of each piece of work: a pure function of the claims stream, so
// that every entry names the same holder. The first claim on a key wins; a
// claim that replaces another wins only if it names the holder's position. A
// batch whose void comes before it has no effect.
//
// Keys are dropped `window` after this process read them; the log keeps its
// records at least that long, and keys older than the window are refused before
// they reach this table. Not thread safe; no I/O.
class ClaimTable {
 public:
  struct Options {
    Duration window = 24h;
  };

  struct Holder {
    ClaimPosition position;
    std::uint64_t claim_id = 0;
    std::uint64_t fingerprint = 0;
    Home home;
  };

  explicit ClaimTable(Options table_options) : options(table_options) {}

  // Applies the record at `offset`; an offset that is already applied is
  // ignored. Precondition: no record between was left out. The payload may hold
  // any bytes; a payload that is not a batch has no effect, for every reader
  // alike.
  void Apply(LogOffset offset, const std::string& payload, Instant now);

  // Null when the key has no holder. Valid until the next Apply.
  const Holder* Find(const WorkKey& key) const;

  bool HasBatch(std::uint64_t batch_id) const;
  bool IsVoid(std::uint64_t batch_id) const;

  LogOffset applied_through() const { return this->through; }
  std::size_t size() const { return this->holders.size(); }

 private:
  struct Aging {
    Instant read_at;
    std::uint64_t batch = 0;  // id of the batch read, or of the one voided
    std::vector<WorkKey> keys;
  };

  void ApplyClaim(const ClaimPosition& position, const Claim& claim);
  void DropOld(Instant now);

  Options options;
  LogOffset through;
  std::unordered_map<WorkKey, Holder> holders;
  std::unordered_set<std::uint64_t> batches;
  std::unordered_set<std::uint64_t> voided;
  std::deque<Aging> aging;  // oldest first
};

}  // namespace acacialug::once

#endif  // ONCE_CLAIM_TABLE_H_
