#include "standin/internal/export_store.h"

#include <algorithm>
#include <utility>

namespace acacialug::standin {

void ExportStore::Add(Export kept) {
  this->tokens += kept.tokens;
  const std::string id = kept.request_id;
  this->exports.emplace(id, std::move(kept));
}

const Export* ExportStore::Find(const std::string& request_id) const {
  const auto found = this->exports.find(request_id);
  return found == this->exports.end() ? nullptr : &found->second;
}

void ExportStore::SetExpiry(const std::string& request_id, Instant expires) {
  const auto found = this->exports.find(request_id);
  if (found != this->exports.end()) {
    found->second.expires = expires;
  }
}

std::optional<Export> ExportStore::Take(const std::string& request_id) {
  const auto found = this->exports.find(request_id);
  if (found == this->exports.end()) {
    return std::nullopt;
  }
  Export taken = std::move(found->second);
  this->tokens -= taken.tokens;
  this->exports.erase(found);
  return taken;
}

std::vector<Export> ExportStore::TakeExpired(Instant now) {
  std::vector<Export> expired;
  for (auto next = this->exports.begin(); next != this->exports.end();) {
    const auto current = next++;
    if (current->second.expires <= now) {
      this->tokens -= current->second.tokens;
      expired.push_back(std::move(current->second));
      this->exports.erase(current);
    }
  }
  return expired;
}

Instant ExportStore::next_expiry() const {
  Instant next = kNever;
  for (const auto& [id, kept] : this->exports) {
    next = std::min(next, kept.expires);
  }
  return next;
}

}  // namespace acacialug::standin
