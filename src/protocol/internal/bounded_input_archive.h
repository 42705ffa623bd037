#ifndef PROTOCOL_INTERNAL_BOUNDED_INPUT_ARCHIVE_H_
#define PROTOCOL_INTERNAL_BOUNDED_INPUT_ARCHIVE_H_

#include <algorithm>
#include <array>
#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "framework/global/types/instant.h"
#include "protocol/internal/enum_tables.h"

namespace acacialug::protocol {

// Maximum elements of a vector of anything but plain numbers: the objects
// take more memory than their bytes in the payload.
inline constexpr std::uint64_t kMaxObjects = 4096;

// Durations are cut to this on both sides, so that an instant plus a received
// duration cannot overflow.
inline constexpr Duration kMaxDuration = 24h * 3650;

// Reads what cereal's PortableBinaryOutputArchive wrote, from untrusted
// bytes. cereal's own input archive sizes strings and vectors by
// the length found in the payload before it has seen their bytes, so that a
// frame of 20 bytes can request any amount of memory, and it accepts any
// number for an enumerator. Here a length must fit into what is left of the
// payload, an enumerator must be in its table, a bool is 0 or 1 and a double is
// finite; anything else throws cereal::Exception, as does a payload that is
// too short.
//
// Not thread safe. The payload must outlive the archive.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
  using Base =
      cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>;

 public:
  // Reads the byte that holds the writer's byte order.
  explicit BoundedInputArchive(std::string_view payload)
      : Base(this), rest(payload) {
    std::uint8_t little_endian = 0;
    this->LoadBytes(&little_endian, sizeof(little_endian));
    Require(little_endian <= 1, "byte order");
    const bool native_little = std::endian::native == std::endian::little;
    this->swap_bytes = (little_endian == 1) != native_little;
  }

  std::size_t remaining() const { return this->rest.size(); }

  // Hides the base's operator, so that every field of every message is
  // checked here, including fields that are added later.
  template <typename... Fields>
  BoundedInputArchive& operator()(Fields&&... fields) {
    (this->Load(std::forward<Fields>(fields)), ...);
    return *this;
  }

  template <typename Number>
  void LoadNumber(Number& value) {
    std::array<char, sizeof(Number)> bytes{};
    this->LoadBytes(bytes.data(), bytes.size());
    if (this->swap_bytes) {
      std::reverse(bytes.begin(), bytes.end());
    }
    std::memcpy(&value, bytes.data(), bytes.size());
  }

  void LoadBytes(void* target, std::uint64_t count) {
    Require(count <= this->rest.size(), "payload ends early");
    if (count > 0) {
      std::memcpy(target, this->rest.data(), count);
    }
    this->rest.remove_prefix(count);
  }

  static void Require(bool holds, const char* what) {
    if (!holds) {
      throw cereal::Exception(what);
    }
  }

 private:
  template <typename Field>
  void Load(Field&& field) {
    using Plain = std::remove_cvref_t<Field>;
    if constexpr (std::is_enum_v<Plain>) {
      this->LoadEnum(field);
    } else if constexpr (std::is_same_v<Plain, bool>) {
      std::uint8_t number = 0;
      this->LoadNumber(number);
      Require(number <= 1, "bool");
      field = number == 1;
    } else if constexpr (std::is_floating_point_v<Plain>) {
      this->LoadNumber(field);
      Require(std::isfinite(field), "number that is not finite");
    } else if constexpr (std::is_same_v<Plain, Duration>) {
      Duration::rep count = 0;
      this->LoadNumber(count);
      field = std::clamp(Duration(count), -kMaxDuration, kMaxDuration);
    } else {
      Base::operator()(std::forward<Field>(field));
    }
  }

  template <typename Element>
  void Load(std::vector<Element>& elements) {
    std::uint64_t count = 0;
    this->LoadNumber(count);
    if constexpr (std::is_arithmetic_v<Element>) {
      Require(count <= this->rest.size() / sizeof(Element), "vector length");
    } else {
      Require(count <= std::min<std::uint64_t>(this->rest.size(), kMaxObjects),
              "vector length");
    }
    elements.resize(count);
    for (Element& element : elements) {
      (*this)(element);
    }
  }

  template <typename Enum>
  void LoadEnum(Enum& value) {
    std::underlying_type_t<Enum> number{};
    this->LoadNumber(number);
    value = static_cast<Enum>(number);
    Require(IsListed(value), "enumerator");
  }

  std::string_view rest;
  bool swap_bytes = false;
};

// cereal requires the functions below, under these names, for an archive's
// basic types.

template <typename Number>
requires std::is_arithmetic_v<Number>
void load(BoundedInputArchive& archive, Number& value) {
  archive.LoadNumber(value);
}

template <typename Value>
void serialize(BoundedInputArchive& archive,
               cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <typename Size>
void serialize(BoundedInputArchive& archive, cereal::SizeTag<Size>& tag) {
  archive.LoadNumber(tag.size);
  BoundedInputArchive::Require(tag.size <= archive.remaining(), "length");
}

template <typename Value>
void load(BoundedInputArchive& archive, cereal::BinaryData<Value>& data) {
  static_assert(sizeof(std::remove_pointer_t<Value>) == 1);
  archive.LoadBytes(data.data, data.size);
}

}  // namespace acacialug::protocol

#endif  // PROTOCOL_INTERNAL_BOUNDED_INPUT_ARCHIVE_H_
