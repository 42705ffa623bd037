#include "framework/http/http_types.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace acacialug::http {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopNames = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
};

bool SameName(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

std::string_view Trimmed(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool NameLess(std::string_view left, std::string_view right) {
  return boost::beast::iless{}({left.data(), left.size()},
                               {right.data(), right.size()});
}

void AppendNames(std::string_view list, std::vector<std::string_view>& names) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    names.push_back(Trimmed(list.substr(0, comma)));
    list.remove_prefix(comma == std::string_view::npos ? list.size()
                                                       : comma + 1);
  }
}

bool IsIpAddress(int family, const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(family, text.c_str(), bytes.data()) == 1;
}

}  // namespace

std::optional<std::string_view> FindHeader(const Headers& headers,
                                           std::string_view name) {
  for (const Header& header : headers) {
    if (SameName(header.name, name)) {
      return header.value;
    }
  }
  return std::nullopt;
}

HopByHopNames::HopByHopNames(const Headers& headers)
    : listed(kHopByHopNames.begin(), kHopByHopNames.end()) {
  for (const Header& header : headers) {
    if (SameName(header.name, "Connection")) {
      AppendNames(header.value, this->listed);
    }
  }
  std::sort(this->listed.begin(), this->listed.end(), NameLess);
}

bool HopByHopNames::Contains(std::string_view name) const {
  return std::binary_search(this->listed.begin(), this->listed.end(), name,
                            NameLess);
}

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon + 1 == text.size()) {
    return std::nullopt;
  }
  Address address;
  const char* const last = text.data() + text.size();
  const auto [end, code] =
      std::from_chars(text.data() + colon + 1, last, address.port);
  if (code != std::errc() || end != last) {
    return std::nullopt;
  }
  const std::string_view ip = text.substr(0, colon);
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  address.ip = bracketed ? ip.substr(1, ip.size() - 2) : ip;
  if (!IsIpAddress(bracketed ? AF_INET6 : AF_INET, address.ip)) {
    return std::nullopt;
  }
  return address;
}

std::string ToString(const Address& address) {
  const bool version_6 = address.ip.find(':') != std::string::npos;
  const std::string ip = version_6 ? "[" + address.ip + "]" : address.ip;
  return ip + ":" + std::to_string(address.port);
}

}  // namespace acacialug::http
