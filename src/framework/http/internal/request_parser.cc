#include "framework/http/internal/request_parser.h"

#include "framework/global/append_bytes.h"

namespace acacialug::http {
namespace {

namespace beast_http = boost::beast::http;

constexpr int kVersion11 = 11;

std::string Text(boost::beast::string_view view) {
  return {view.data(), view.size()};
}

}  // namespace

void RequestParser::on_request_impl(beast_http::verb /*method*/,
                                    View method_text,
                                    View target,
                                    int version,
                                    Error& /*error*/) {
  this->request.method = Text(method_text);
  this->request.target = Text(target);
  this->is_version_1_1 = version >= kVersion11;
}

void RequestParser::on_field_impl(beast_http::field field,
                                  View name,
                                  View value,
                                  Error& /*error*/) {
  if (this->is_header_done()) {
    return;  // a trailer
  }
  this->request.headers.push_back({Text(name), Text(value)});
  this->host_fields += field == beast_http::field::host ? 1 : 0;
}

// The body grows as bytes come. Memory for the length that a caller claims
// would let a few thousand callers that send nothing take all of it.
std::size_t RequestParser::on_body_impl(View bytes, Error& /*error*/) {
  AppendBytes(this->request.body, {bytes.data(), bytes.size()});
  return bytes.size();
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*remaining*/,
                                              View bytes,
                                              Error& error) {
  return this->on_body_impl(bytes, error);
}

}  // namespace acacialug::http
