#include "agent/internal/utilisation.h"

#include <algorithm>
#include <cmath>

namespace acacialug::agent {
namespace {

double Share(double part, double whole) {
  return whole > 0 ? std::clamp(part / whole, 0.0, 1.0) : 0;
}

}  // namespace

void Utilisation::NoteLoad(const protocol::EndpointLoad& load, Instant now) {
  this->mean = this->MeanAt(now);
  this->noted_at = now;
  const double slots_used =
      Share(static_cast<double>(load.running) + load.queued,
            static_cast<double>(load.limit));
  const double memory_used = Share(static_cast<double>(load.total_kv_tokens) -
                                       static_cast<double>(load.free_kv_tokens),
                                   static_cast<double>(load.total_kv_tokens));
  this->current = std::max(slots_used, memory_used);
  if (!this->watched_since) {
    this->watched_since = now;
    this->mean = this->current;
  }
}

std::optional<double> Utilisation::At(Instant now) const {
  if (!this->watched_since || now < *this->watched_since + this->memory) {
    return std::nullopt;
  }
  return this->MeanAt(now);
}

double Utilisation::MeanAt(Instant now) const {
  const double kept =
      std::exp(-Seconds(now - this->noted_at) / Seconds(this->memory));
  return this->current + (this->mean - this->current) * kept;
}

}  // namespace acacialug::agent
