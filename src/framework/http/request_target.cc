#include "framework/http/request_target.h"

#include <QByteArray>

namespace acacialug::http {
namespace {

// All bytes but letters, digits and `-._~`.
std::string Encode(std::string_view text) {
  return QByteArray::fromRawData(text.data(), static_cast<int>(text.size()))
      .toPercentEncoding()
      .toStdString();
}

}  // namespace

// `.` and `..` would be taken for steps through the path (RFC 3986, 5.2.4).
RequestTarget& RequestTarget::Segment(std::string_view text) {
  if (text == ".") {
    this->target += "%2E";
  } else if (text == "..") {
    this->target += "%2E%2E";
  } else {
    this->target += Encode(text);
  }
  return *this;
}

RequestTarget& RequestTarget::Parameter(std::string_view name,
                                        std::string_view value) {
  this->target += this->has_query ? '&' : '?';
  this->target += name;
  this->target += '=';
  this->target += Encode(value);
  this->has_query = true;
  return *this;
}

RequestTarget& RequestTarget::Parameter(std::string_view name,
                                        std::uint64_t value) {
  return this->Parameter(name, std::string_view(std::to_string(value)));
}

}  // namespace acacialug::http
