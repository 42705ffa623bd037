#ifndef ORIGIN_STREAM_LEDGER_H_
#define ORIGIN_STREAM_LEDGER_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "origin/types/stream_origin.h"

namespace acacialug::origin {

// The origins of streams that this process began, and of those that it keeps
// for its peers. Memory is bounded: when full, the oldest is dropped. Not
// thread safe; `now` never decreases.
class StreamLedger {
 public:
  struct Options {
    std::size_t max_streams = 65'536;
  };

  explicit StreamLedger(Options ledger_options) : options(ledger_options) {}

  // Stores an origin. A later placement of the same attempt replaces an earlier
  // one. Two attempts of the same name at two versions contradict each other:
  // the name then stands for neither. `own`: this process began the stream.
  void Note(const StreamOrigin& origin, bool own, Instant now);

  // Empty: the stream is not known.
  std::optional<StreamOrigin> Find(StreamKey stream, Instant now) const;

  // The streams that this process began.
  std::vector<StreamOrigin> Own(Instant now) const;

  // Deletes expired entries. Call periodically.
  void Sweep(Instant now);

  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    StreamOrigin origin;
    Instant expires_at;
    bool own = false;
  };
  struct KeyHash {
    std::size_t operator()(const StreamKey& key) const { return key.value; }
  };

  static void Merge(const StreamOrigin& origin, Entry& entry);
  static StreamOrigin Read(const Entry& entry, Instant now);

  const Options options;
  std::unordered_map<StreamKey, Entry, KeyHash> entries;
  // In the order of the notes. An entry that was noted again has several rows.
  std::deque<std::pair<Instant, StreamKey>> expiries;
};

}  // namespace acacialug::origin

#endif  // ORIGIN_STREAM_LEDGER_H_
