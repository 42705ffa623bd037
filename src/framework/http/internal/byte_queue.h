#ifndef FRAMEWORK_HTTP_INTERNAL_BYTE_QUEUE_H_
#define FRAMEWORK_HTTP_INTERNAL_BYTE_QUEUE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "framework/global/append_bytes.h"

namespace acacialug::http {

// Bytes received and not yet parsed. Taking from the front moves nothing, so
// that a read full of tiny pieces costs time linear in its size.
class ByteQueue {
 public:
  void Append(std::string_view more) {
    this->bytes.erase(0, this->taken);
    this->taken = 0;
    AppendBytes(this->bytes, more);
  }

  // Precondition: count <= size().
  void Take(std::size_t count) {
    this->taken += count;
    const std::size_t capacity = this->bytes.capacity();
    // An idle connection must not hold on to memory, nor a few bytes to much.
    if (this->empty() ||
        (capacity > kMinShrunkBytes && this->size() < capacity / 4)) {
      std::string(this->view()).swap(this->bytes);
      this->taken = 0;
    }
  }

  std::string_view view() const {
    return std::string_view(this->bytes).substr(this->taken);
  }
  std::size_t size() const { return this->bytes.size() - this->taken; }
  bool empty() const { return this->size() == 0; }
  // Memory for bytes taken and not taken.
  std::size_t held_bytes() const {
    return this->bytes.empty() ? 0 : this->bytes.capacity();
  }

 private:
  static constexpr std::size_t kMinShrunkBytes = 4096;

  std::string bytes;
  std::size_t taken = 0;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_BYTE_QUEUE_H_
