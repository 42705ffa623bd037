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

// The faults that every stand-in offers under POST /control: requests that are
// held during a stall, delayed answers, and answers that are lost after the
// effect. Lives on one thread with a Qt event loop.
class HttpFaults {
 public:
  explicit HttpFaults(RandomSource& random_source);

  // Applies the keys stall, stall_ms, delay_ms, lose_answers, lose_requests,
  // unframed and cut_unframed.
  // Absent ones keep their values.
  void Set(const nlohmann::json& control);

  // Runs a task now, or when the stall ends.
  void RunOrHold(std::function<void()> task);

  bool stalled() const { return this->is_stalled; }
  Duration delay() const { return this->answer_delay; }

  // Draws whether a request is lost before its effect.
  bool LosesRequest();

  // Draws whether an answer is lost.
  bool LosesAnswer();

  // Draws whether an answer has neither a length nor chunks, and whether such
  // an answer ends early, in order, as when its process ends.
  bool IsUnframed();
  bool CutsUnframed();

  // A part of the text that ends after any of its bytes but the last.
  std::string Cut(std::string text);

  // Sends an answer, which faults may delay, lose, or leave unframed.
  void Answer(const Reply& reply, http::Response response);

  // Runs when a stall begins or ends, with the end of the stall (kNever:
  // unknown).
  std::function<void(bool stalled, Instant until)> on_stall;

 private:
  void SetStalled(bool stalled, Duration length);

  RandomSource& random;
  bool is_stalled = false;
  Duration answer_delay{};
  double lose_share = 0;
  double lose_request_share = 0;
  double unframed_share = 0;
  double cut_unframed_share = 0;
  std::vector<std::function<void()>> held;
  QTimer stall_end;
};

}  // namespace acacialug::standin

#endif  // STANDIN_INTERNAL_HTTP_FAULTS_H_
