#include "entry_process/internal/route.h"

#include <array>
#include <optional>

namespace acacialug::entry_process {
namespace {

constexpr std::string_view kModelPrefix = "/v1/models/";
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kTicketPrefix = "/tickets/";
constexpr std::string_view kReadMethods = "GET, HEAD";

struct FixedRoute {
  std::string_view path;
  Route route;
  std::string_view methods;
};
constexpr std::array<FixedRoute, 5> kFixedRoutes = {{
    {"/v1/chat/completions", Route::kChatCompletions, "POST"},
    {"/v1/completions", Route::kCompletions, "POST"},
    {"/v1/models", Route::kModels, kReadMethods},
    {"/healthz", Route::kHealth, kReadMethods},
    {"/readyz", Route::kReady, kReadMethods},
}};

const FixedRoute* FindFixed(std::string_view path) {
  for (const FixedRoute& row : kFixedRoutes) {
    if (row.path == path) {
      return &row;
    }
  }
  return nullptr;
}

bool Allows(std::string_view methods, std::string_view method) {
  while (!methods.empty()) {
    const std::size_t comma = methods.find(", ");
    if (methods.substr(0, comma) == method) {
      return true;
    }
    methods = comma == std::string_view::npos ? std::string_view()
                                              : methods.substr(comma + 2);
  }
  return false;
}

std::optional<int> HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + 10;
  }
  return std::nullopt;
}

// RFC 3986, section 2.3.
bool IsUnreserved(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' ||
         character == '.' || character == '_' || character == '~';
}

std::optional<std::string> UndoEscapes(std::string_view path) {
  std::string text;
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (path[i] != '%') {
      text += path[i];
      continue;
    }
    if (i + 2 >= path.size()) {
      return std::nullopt;
    }
    const std::optional<int> high = HexDigit(path[i + 1]);
    const std::optional<int> low = HexDigit(path[i + 2]);
    if (!high || !low) {
      return std::nullopt;
    }
    const char character = static_cast<char>(*high * 16 + *low);
    if (IsUnreserved(character)) {
      text += character;
    } else {
      constexpr std::string_view kDigits = "0123456789ABCDEF";
      text += '%';
      text += kDigits[*high];
      text += kDigits[*low];
    }
    i += 2;
  }
  return text;
}

// `path` begins with '/'. An empty last segment (a trailing '/') is allowed.
bool HasAmbiguousSegment(std::string_view path) {
  std::size_t begin = 1;
  while (begin <= path.size()) {
    const std::size_t slash = path.find('/', begin);
    const bool is_last = slash == std::string_view::npos;
    const std::string_view segment =
        path.substr(begin, is_last ? slash : slash - begin);
    if (segment == "." || segment == ".." || (segment.empty() && !is_last)) {
      return true;
    }
    if (is_last) {
      return false;
    }
    begin = slash + 1;
  }
  return false;
}

Result<RouteMatch> ServiceRoute(std::string_view path, std::string_view query) {
  const std::string_view rest = path.substr(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string_view name = rest.substr(0, slash);
  if (name.empty()) {
    return Error(ResultCode::kUnknownRoute, std::string(path));
  }
  Result<std::string> below = NormalizeServicePath(
      slash == std::string_view::npos ? "/" : rest.substr(slash));
  if (!below.ok()) {
    return below.error();
  }
  return RouteMatch{.route = Route::kService,
                    .name = std::string(name),
                    .target = below.value() + std::string(query)};
}

Error MethodError(std::string_view method, std::string_view path) {
  return {ResultCode::kMethodNotAllowed,
          std::string(method) + " " + std::string(path)};
}

}  // namespace

Result<std::string> NormalizeServicePath(std::string_view path) {
  std::optional<std::string> text = UndoEscapes(path);
  if (!text || HasAmbiguousSegment(*text) ||
      text->find('\\') != std::string::npos) {
    return Error(ResultCode::kMalformedRequest,
                 "the path has a dot segment, an empty segment, a backslash "
                 "or a broken escape");
  }
  return std::move(*text);
}

Result<RouteMatch> FindRoute(std::string_view method, std::string_view target) {
  const std::size_t mark = target.find('?');
  const std::string_view path = target.substr(0, mark);
  const std::string_view query =
      mark == std::string_view::npos ? std::string_view() : target.substr(mark);
  if (path.starts_with(kServicePrefix)) {
    return ServiceRoute(path, query);
  }
  const std::string_view methods = AllowedMethods(path);
  if (methods.empty()) {
    return Error(ResultCode::kUnknownRoute, std::string(path));
  }
  if (!Allows(methods, method)) {
    return MethodError(method, path);
  }
  if (const FixedRoute* fixed = FindFixed(path)) {
    return RouteMatch{.route = fixed->route};
  }
  if (path.starts_with(kTicketPrefix)) {
    return RouteMatch{.route = Route::kTicket,
                      .name = std::string(path.substr(kTicketPrefix.size()))};
  }
  return RouteMatch{.route = Route::kModel,
                    .name = std::string(path.substr(kModelPrefix.size()))};
}

std::string_view AllowedMethods(std::string_view path) {
  if (const FixedRoute* fixed = FindFixed(path)) {
    return fixed->methods;
  }
  if (path.starts_with(kTicketPrefix) && path.size() > kTicketPrefix.size()) {
    return "POST";
  }
  const bool is_model =
      path.starts_with(kModelPrefix) && path.size() > kModelPrefix.size();
  return is_model ? kReadMethods : std::string_view();
}

}  // namespace acacialug::entry_process
