#ifndef STANDIN_INTERNAL_EXPORT_STORE_H_
#define STANDIN_INTERNAL_EXPORT_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/types/instant.h"

namespace acacialug::standin {

// A prefill's KV cache that waits for its transfer.
struct Export {
  std::string request_id;
  std::uint32_t tokens = 0;
  std::uint32_t computed = 0;  // of the tokens, not found in the prefix cache
  Instant expires;
};

// The exports that an engine holds, each up to its own instant. Not thread
// safe.
class ExportStore {
 public:
  // Precondition: none of this id is held.
  void Add(Export kept);
  const Export* Find(const std::string& request_id) const;
  void SetExpiry(const std::string& request_id, Instant expires);
  std::optional<Export> Take(const std::string& request_id);
  std::vector<Export> TakeExpired(Instant now);

  Instant next_expiry() const;
  std::uint64_t held_tokens() const { return this->tokens; }
  const std::map<std::string, Export>& all() const { return this->exports; }

 private:
  std::map<std::string, Export> exports;
  std::uint64_t tokens = 0;
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_EXPORT_STORE_H_
