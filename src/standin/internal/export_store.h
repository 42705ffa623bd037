#ifndef STANDIN_INTERNAL_EXPORT_STORE_H_
#define STANDIN_INTERNAL_EXPORT_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/global/types/instant.h"

namespace acacialug::standin {

// The KV cache of a prefill, held for its transfer.
struct Export {
  std::string request_id;
  std::uint32_t tokens = 0;
  std::uint32_t computed = 0;  // tokens that were not in the prefix cache
  Instant expires;
};

// The exports that an engine holds, each until its expiry. Not thread safe.
class ExportStore {
 public:
  // Precondition: no export with this id is held.
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
