#ifndef FRAMEWORK_GLOBAL_TYPES_RESULT_H_
#define FRAMEWORK_GLOBAL_TYPES_RESULT_H_

#include <string>
#include <system_error>
#include <utility>
#include <variant>

#include "framework/global/types/result_code.h"

namespace acacialug {

// Why something failed: a numbered code, and what a person needs beside it
// (a key, a line, an address). Never carries a secret.
struct Error {
  std::error_code code;
  std::string detail;

  Error(ResultCode result_code, std::string error_detail = {})
      : code(make_error_code(result_code)), detail(std::move(error_detail)) {}

  ResultCode result_code() const {
    return static_cast<ResultCode>(this->code.value());
  }
};

// A value, or the error in its place; used between modules instead of
// exceptions. Precondition of value(): ok(). Precondition of error(): !ok().
// Not thread safe, like any value.
template <typename T>
class [[nodiscard]] Result {
 public:
  Result(T good_value) : content(std::move(good_value)) {}
  Result(Error bad_error) : content(std::move(bad_error)) {}

  bool ok() const { return std::holds_alternative<T>(this->content); }
  explicit operator bool() const { return this->ok(); }

  const T& value() const { return std::get<T>(this->content); }
  T& value() { return std::get<T>(this->content); }
  const Error& error() const { return std::get<Error>(this->content); }

  const T* operator->() const { return &this->value(); }
  const T& operator*() const { return this->value(); }

 private:
  std::variant<T, Error> content;
};

// A Result without a value.
struct Success {};
using Status = Result<Success>;

}  // namespace acacialug

#endif  // FRAMEWORK_GLOBAL_TYPES_RESULT_H_
