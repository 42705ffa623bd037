#ifndef FRAMEWORK_HTTP_INTERNAL_REQUEST_PARSER_H_
#define FRAMEWORK_HTTP_INTERNAL_REQUEST_PARSER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>

#include "framework/http/http_types.h"

namespace acacialug::http {

// Beast's grammar of a request without Beast's containers, whose node for each
// field takes many times the memory of a short line. Trailers are dropped: a
// trailer must not pass for a header, and nothing reads them. Not thread safe.
class RequestParser : public boost::beast::http::basic_parser<true> {
 public:
  // Appends what it parses to `parsed`, which outlives it.
  explicit RequestParser(Request& parsed) : request(parsed) {}

  std::size_t hosts() const { return this->host_fields; }
  bool version_1_1() const { return this->is_version_1_1; }

 private:
  using Error = boost::beast::error_code;
  using View = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb method,
                       View method_text,
                       View target,
                       int version,
                       Error& error) override;
  void on_response_impl(int /*status*/,
                        View /*reason*/,
                        int /*version*/,
                        Error& /*error*/) override {}
  void on_field_impl(boost::beast::http::field field,
                     View name,
                     View value,
                     Error& error) override;
  void on_header_impl(Error& /*error*/) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         Error& /*error*/) override {}
  std::size_t on_body_impl(View bytes, Error& error) override;
  void on_chunk_header_impl(std::uint64_t /*size*/,
                            View /*extensions*/,
                            Error& /*error*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t remaining,
                                 View bytes,
                                 Error& error) override;
  void on_finish_impl(Error& /*error*/) override {}

  Request& request;
  std::size_t host_fields = 0;
  bool is_version_1_1 = false;
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_REQUEST_PARSER_H_
