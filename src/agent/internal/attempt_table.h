#ifndef AGENT_INTERNAL_ATTEMPT_TABLE_H_
#define AGENT_INTERNAL_ATTEMPT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "agent/types/agent_messages.h"
#include "framework/global/types/enum_names.h"
#include "framework/global/types/instant.h"

namespace acacialug::agent {

// The table's verdict on a message that starts something.
enum class Admission : std::uint8_t {
  kNew,            // first message of this attempt
  kOpen,           // the attempt is running here
  kRefusedBefore,  // closed without having run; the refusal may be repeated
  kEndedBefore,    // it ran here before: a repeated message, to be dropped
  kSuperseded,     // a newer attempt of the request came first
};
inline constexpr EnumNames<Admission, 5> kAdmissionNames = {{
    {Admission::kNew, "new"},
    {Admission::kOpen, "open"},
    {Admission::kRefusedBefore, "refused_before"},
    {Admission::kEndedBefore, "over_before"},
    {Admission::kSuperseded, "superseded"},
}};

// The attempts that run here with their sessions, and the highest attempt
// number of each request. A closed attempt stays known for a while: otherwise a
// message delivered twice, or a Start that its Cancel has overtaken, would run
// work that no caller waits for. Not thread safe.
class AttemptTable {
 public:
  struct Options {
    bool check = true;      // false only to test that its absence is detected
    Duration memory = 15s;  // how long a closed attempt stays known
    std::size_t max_remembered = 65536;
  };

  struct Opening {
    Admission admission = Admission::kNew;
    ResultCode code = ResultCode::kOk;  // kRefusedBefore: why
    std::optional<AttemptId> replaced;  // the older attempt to be freed
  };

  explicit AttemptTable(Options table_options) : options(table_options) {}

  // Binds the attempt to the session (again) unless it is closed or
  // superseded.
  Opening Open(const AttemptId& attempt, SessionId session, Instant now);

  // Closes an attempt of which nothing ran and nothing will run.
  void CloseNotRun(const AttemptId& attempt, ResultCode code, Instant now);
  // Closes an attempt that ran, or may have.
  void CloseEnded(const AttemptId& attempt, Instant now);

  std::optional<SessionId> SessionOf(const AttemptId& attempt) const;
  // The time of the attempt's first message; empty unless it is open.
  std::optional<Instant> OpenSince(const AttemptId& attempt) const;
  std::vector<AttemptId> OpenOf(SessionId session) const;

  // Forgets the attempts that were closed longer than `memory` ago.
  void Expire(Instant now);
  // Forgetting is never urgent: it happens with the next message.
  std::size_t remembered() const { return this->seen.size(); }

 private:
  enum class State : std::uint8_t { kOpen, kNotRun, kEnded };
  struct Seen {
    AttemptNumber highest;
    State state = State::kOpen;
    ResultCode code = ResultCode::kOk;
    Instant closed_at{};
    // Older attempts that ran here: refusing those as "not run" would be wrong.
    // At most kMaxRan; entries make few attempts for each request.
    std::vector<AttemptNumber> ran;
  };

  static constexpr std::size_t kMaxRan = 8;

  struct Owner {
    SessionId session;
    Instant since;
  };

  void Bind(const AttemptId& attempt, SessionId session, Instant now);
  void Unbind(const AttemptId& attempt);
  void Close(const AttemptId& attempt,
             State state,
             ResultCode code,
             Instant now);
  void ForgetOldest();

  Options options;
  std::unordered_map<AttemptId, Owner> owners;
  std::unordered_map<SessionId, std::unordered_set<AttemptId>> by_session;
  std::unordered_map<RequestId, Seen> seen;
  std::deque<std::pair<Instant, RequestId>> closed;
};

}  // namespace acacialug::agent

#endif  // AGENT_INTERNAL_ATTEMPT_TABLE_H_
