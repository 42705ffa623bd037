#ifndef STANDIN_INTERNAL_HTTP_FAULTS_H_
#define STANDIN_INTERNAL_HTTP_FAULTS_H_

#include <QTimer>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "framework/global/random_source.h"
#include "framework/global/types/instant.h"
#include "framework/http/http_types.h"
#include "standin/internal/reply.h"

namespace acacialug::standin {

// The faults that every stand-in offers under POST /control: requests that
// are held during a stall, answers that come late, and answers that are lost
// after the effect. Lives on one thread with a Qt event loop.
class HttpFaults {
 public:
  explicit HttpFaults(RandomSource& random_source);

  // Takes the keys that it knows: stall, stall_ms, delay_ms, lose_answers,
  // lose_requests.
  // Absent ones stay as they are.
  void Set(const nlohmann::json& control);

  // Runs a task now, or when the stall ends.
  void RunOrHold(std::function<void()> task);

  bool stalled() const { return this->is_stalled; }
  Duration delay() const { return this->answer_delay; }

  // Draws whether a request is to be lost before its effect.
  bool LosesRequest();

  // Draws whether an answer is to be lost.
  bool LosesAnswer();

  // Answers, late or not at all.
  void Answer(const Reply& reply, http::Response response);

  // Runs when a stall begins or ends, with its end (kNever: not set).
  std::function<void(bool stalled, Instant until)> on_stall;

 private:
  void SetStalled(bool stalled, Duration length);

  RandomSource& random;
  bool is_stalled = false;
  Duration answer_delay{};
  double lose_share = 0;
  double lose_request_share = 0;
  std::vector<std::function<void()>> held;
  QTimer stall_end;
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_HTTP_FAULTS_H_
