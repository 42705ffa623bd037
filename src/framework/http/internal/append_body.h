#ifndef FRAMEWORK_HTTP_INTERNAL_APPEND_BODY_H_
#define FRAMEWORK_HTTP_INTERNAL_APPEND_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace acacialug::http {

// A Beast body that grows as bytes come. Beast's own string_body reserves
// whatever Content-Length claims: a few thousand connections that each claim
// the limit and send nothing would then take the memory for all of it.
struct AppendBody {
  using value_type = std::string;

  class reader {  // NOLINT(readability-identifier-naming): Beast's name
   public:
    template <bool kIsRequest, class Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>& /*head*/,
           value_type& body)
        : target(body) {}

    // NOLINTNEXTLINE(readability-identifier-naming): Beast's name
    void init(const boost::optional<std::uint64_t>& /*length*/,
              boost::beast::error_code& error) {
      error = {};
    }

    template <class Buffers>
    // NOLINTNEXTLINE(readability-identifier-naming): Beast's name
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      std::size_t taken = 0;
      for (auto part = boost::asio::buffer_sequence_begin(buffers);
           part != boost::asio::buffer_sequence_end(buffers); ++part) {
        const boost::asio::const_buffer bytes(*part);
        this->target.append(static_cast<const char*>(bytes.data()),
                            bytes.size());
        taken += bytes.size();
      }
      return taken;
    }

    // NOLINTNEXTLINE(readability-identifier-naming): Beast's name
    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& target;
  };
};

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_INTERNAL_APPEND_BODY_H_
