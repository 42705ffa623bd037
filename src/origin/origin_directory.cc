#include "origin/origin_directory.h"

#include <algorithm>

#include "placement/types/hashing.h"

namespace acacialug::origin {
namespace {

// A peer that was not heard for this long is forgotten.
constexpr Duration kPeerRetention = 60s;
constexpr Duration kLookupInterval = 5ms;

}  // namespace

OriginDirectory::OriginDirectory(Options directory_options,
                                 StreamLedger& origins)
    : options(std::move(directory_options)),
      ledger(origins),
      started_at(this->options.now()) {}

void OriginDirectory::OnPeerHeard(const std::string& peer) {
  const Instant now = this->Now();
  const auto found = this->peers.find(peer);
  const bool newcomer =
      found == this->peers.end() || now - found->second.heard_at >= kPeerMemory;
  this->peers[peer] = {.weight = placement::HashText(peer), .heard_at = now};
  if (newcomer) {
    this->AnnounceAllTo(peer);
  }
}

std::vector<std::string> OriginDirectory::Ranked(StreamKey stream,
                                                 bool live_only) const {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& [id, peer] : this->peers) {
    if (!live_only || this->Live(peer)) {
      ranked.emplace_back(
          placement::RendezvousWeight(stream.value, peer.weight), id);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> ids;
  ids.reserve(ranked.size());
  for (auto& [weight, id] : ranked) {
    ids.push_back(std::move(id));
  }
  return ids;
}

void OriginDirectory::Announce(const StreamOrigin& origin) {
  std::vector<std::string> holders = this->Ranked(origin.stream);
  holders.resize(std::min(holders.size(), this->options.holders));
  for (const std::string& holder : holders) {
    this->SendNotice(holder, origin);
  }
}

void OriginDirectory::AnnounceAllTo(const std::string& peer) {
  for (const StreamOrigin& origin : this->ledger.Own(this->Now())) {
    if (this->Holds(peer, origin.stream)) {
      this->SendNotice(peer, origin);
    }
  }
}

void OriginDirectory::AnnounceAll() {
  this->backlog = this->ledger.Own(this->Now());
  this->SchedulePoll(Duration::zero());
}

void OriginDirectory::AnnouncePortion() {
  const std::size_t count = std::min(this->backlog.size(), kPortion);
  for (std::size_t number = 0; number < count; ++number) {
    this->Announce(this->backlog.back());
    this->backlog.pop_back();
  }
}

bool OriginDirectory::Holds(const std::string& peer, StreamKey stream) const {
  const std::uint64_t weight =
      placement::RendezvousWeight(stream.value, this->peers.at(peer).weight);
  const auto ahead =
      std::count_if(this->peers.begin(), this->peers.end(),
                    [this, stream, weight](const auto& entry) {
                      return this->Live(entry.second) &&
                             placement::RendezvousWeight(
                                 stream.value, entry.second.weight) > weight;
                    });
  return static_cast<std::size_t>(ahead) < this->options.holders;
}

std::size_t OriginDirectory::LivePeers() const {
  return static_cast<std::size_t>(std::count_if(
      this->peers.begin(), this->peers.end(),
      [this](const auto& entry) { return this->Live(entry.second); }));
}

bool OriginDirectory::MostAreLive() const {
  return 2 * this->LivePeers() >= this->peers.size();
}

std::size_t OriginDirectory::Rank() const {
  return static_cast<std::size_t>(std::count_if(
      this->peers.begin(), this->peers.end(), [this](const auto& entry) {
        return this->Live(entry.second) && entry.first < this->options.id;
      }));
}

void OriginDirectory::SendNotice(const std::string& peer,
                                 const StreamOrigin& origin) {
  Notice& notice = this->notices[{origin.stream, peer}];
  const bool another = !(notice.origin == origin);
  notice.origin = origin;
  notice.sent = another ? 1 : notice.sent + 1;
  notice.sent_at = this->Now();
  this->options.send(peer, {.notices = {origin}});
  this->SchedulePoll(kRepeatInterval);
}

void OriginDirectory::ReplaceHolder(const std::string& former,
                                    const StreamOrigin& origin) {
  const std::vector<std::string> ranked = this->Ranked(origin.stream);
  const auto former_rank = static_cast<std::size_t>(
      std::find(ranked.begin(), ranked.end(), former) - ranked.begin());
  // The first peers after the holders replace all of them.
  const std::size_t rank = std::max(former_rank + 1, this->options.holders);
  if (rank < ranked.size()) {
    this->SendNotice(ranked[rank], origin);
  }
}

void OriginDirectory::OnMessage(const std::string& peer,
                                const OriginMessage& message) {
  const Instant now = this->Now();
  OriginMessage answer;
  for (const StreamOrigin& origin : message.notices) {
    this->ledger.Note(origin, false, now);
    answer.kept.push_back(origin.stream);
  }
  for (const StreamKey stream : message.queries) {
    if (const auto known = this->ledger.Find(stream, now)) {
      answer.known.push_back(*known);
    } else {
      answer.unknown.push_back(stream);
    }
  }
  if (!(answer == OriginMessage{})) {
    this->options.send(peer, answer);
  }
  for (const StreamKey stream : message.kept) {
    this->notices.erase({stream, peer});
  }
  for (const StreamOrigin& origin : message.known) {
    this->OnKnown(peer, origin);
  }
  for (const StreamKey stream : message.unknown) {
    this->OnAnswered(peer, stream, !message.sender_knows_more);
  }
}

void OriginDirectory::OnKnown(const std::string& peer,
                              const StreamOrigin& origin) {
  const auto found = this->lookups.find(origin.stream);
  if (found == this->lookups.end()) {
    return;
  }
  this->ledger.Note(origin, false, this->Now());
  Lookup& lookup = found->second;
  lookup.found = this->ledger.Find(origin.stream, this->Now());
  lookup.found_at = std::min(lookup.found_at, this->Now());
  this->OnAnswered(peer, origin.stream, false);
}

void OriginDirectory::OnAnswered(const std::string& peer,
                                 StreamKey stream,
                                 bool agrees) {
  const auto found = this->lookups.find(stream);
  if (found != this->lookups.end()) {
    found->second.answered.insert(peer);
    if (agrees) {
      found->second.agreeing.insert(peer);
    }
    this->SchedulePoll(Duration::zero());
  }
}

void OriginDirectory::Resolve(StreamKey stream, Done done) {
  const auto [found, added] = this->lookups.try_emplace(stream);
  found->second.done.push_back(std::move(done));
  if (added) {
    found->second.begun_at = this->Now();
    // One more than hold it: the process that began the stream may be among
    // the first in this process's order, and was not in its own.
    this->Ask(stream, found->second, this->options.holders + 1);
    this->SchedulePoll(kLookupInterval);
  }
}

void OriginDirectory::Ask(StreamKey stream, Lookup& lookup, std::size_t count) {
  lookup.sent_at = this->Now();
  std::vector<std::string> asked = this->Ranked(stream, this->MostAreLive());
  asked.resize(std::min(asked.size(), count));
  for (const std::string& peer : asked) {
    lookup.asked.insert(peer);
    if (!lookup.answered.contains(peer)) {
      this->options.send(peer, {.queries = {stream}});
    }
  }
}

bool OriginDirectory::Ended(const Lookup& lookup, std::size_t count) const {
  const Instant now = this->Now();
  const bool all_answered = lookup.answered.size() >= lookup.asked.size();
  if (lookup.found) {
    return all_answered || now - lookup.found_at >= kAnswerGrace;
  }
  const bool starting = lookup.begun_at - this->started_at < kStartTime;
  if (now - lookup.begun_at >= (starting ? kMaxStartWait : kMaxWait)) {
    return true;
  }
  return !starting && all_answered && lookup.asked.size() >= count;
}

void OriginDirectory::PollLookups() {
  const Instant now = this->Now();
  const std::size_t count =
      this->MostAreLive() ? this->LivePeers() : this->peers.size();
  std::vector<std::pair<Lookup, Found>> ended;
  for (auto row = this->lookups.begin(); row != this->lookups.end();) {
    Lookup& lookup = row->second;
    const bool holders_done = lookup.answered.size() >= lookup.asked.size() ||
                              now - lookup.begun_at >= kHolderWait;
    if (!lookup.found && holders_done &&
        (lookup.asked.size() < count ||
         now - lookup.sent_at >= kRepeatInterval)) {
      this->Ask(row->first, lookup, count);
    }
    if (!this->Ended(lookup, count)) {
      ++row;
      continue;
    }
    const Found found{.version = lookup.found
                                     ? std::optional(lookup.found->version)
                                     : std::nullopt,
                      .answered = lookup.answered.size(),
                      .agreeing = lookup.agreeing.size()};
    ended.emplace_back(std::move(lookup), found);
    row = this->lookups.erase(row);
  }
  for (const auto& [lookup, found] : ended) {
    for (const Done& done : lookup.done) {
      done(found);
    }
  }
}

void OriginDirectory::PollNotices() {
  const Instant now = this->Now();
  std::vector<std::pair<std::string, Notice>> due;
  for (const auto& [key, notice] : this->notices) {
    if (now - notice.sent_at >= kRepeatInterval) {
      due.emplace_back(key.second, notice);
    }
  }
  for (const auto& [peer, notice] : due) {
    if (notice.sent < kMaxNotices) {
      this->SendNotice(peer, notice.origin);
    } else {
      this->notices.erase({notice.origin.stream, peer});
      this->ReplaceHolder(peer, notice.origin);
    }
  }
}

void OriginDirectory::SchedulePoll(Duration after) {
  const Instant at = this->Now() + after;
  if (at < this->poll_at) {
    this->poll_at = at;
    this->options.set_timer(at, [this] { this->Poll(); });
  }
}

// Timers that an earlier one replaced still call this, without effect.
void OriginDirectory::Poll() {
  this->poll_at = kNever;
  this->AnnouncePortion();
  this->PollNotices();
  this->PollLookups();
  if (!this->backlog.empty()) {
    this->SchedulePoll(kPortionInterval);
  } else if (!this->lookups.empty()) {
    this->SchedulePoll(kLookupInterval);
  } else if (!this->notices.empty()) {
    this->SchedulePoll(kRepeatInterval);
  }
}

void OriginDirectory::Sweep() {
  const Instant now = this->Now();
  std::erase_if(this->peers, [now](const auto& entry) {
    return now - entry.second.heard_at >= kPeerRetention;
  });
}

}  // namespace acacialug::origin
