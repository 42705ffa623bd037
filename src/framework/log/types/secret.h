#ifndef FRAMEWORK_LOG_TYPES_SECRET_H_
#define FRAMEWORK_LOG_TYPES_SECRET_H_

#include <ostream>
#include <string>
#include <utility>

namespace acacialug::log {

// A key or token that must not reach a log, a report or an error text. It has
// no conversion to text, so that it can only get there by its printed form,
// "***", or by a call of Reveal, which a reader of the code sees. Thread safe
// as a constant.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string secret_text) : text(std::move(secret_text)) {}

  // The secret itself, for the one place that sends or compares it.
  const std::string& Reveal() const { return this->text; }
  bool empty() const { return this->text.empty(); }

  friend std::ostream& operator<<(std::ostream& stream, const Secret&) {
    return stream << kPrinted;
  }
  static constexpr const char* kPrinted = "***";

 private:
  std::string text;
};

}  // namespace acacialug::log

#endif  // FRAMEWORK_LOG_TYPES_SECRET_H_
