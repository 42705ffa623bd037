#ifndef FRAMEWORK_HTTP_TESTS_TLS_FILES_H_
#define FRAMEWORK_HTTP_TESTS_TLS_FILES_H_

#include <string>

#include "framework/http/http_types.h"

namespace acacialug::testing {

inline std::string TlsFile(const std::string& name) {
  return ACACIALUG_SOURCE_DIR "/src/framework/http/tests/data/" + name;
}

// A host by the test authority, which checks its peers against it.
inline http::TlsFiles HostTls() {
  return {.certificate_file = TlsFile("host.pem"),
          .key_file = TlsFile("host.key"),
          .authority_file = TlsFile("authority.pem")};
}

// A host by another authority, which would take any peer.
inline http::TlsFiles StrangerTls() {
  return {.certificate_file = TlsFile("stranger.pem"),
          .key_file = TlsFile("stranger.key")};
}

struct BadFilesRow {
  std::string name;
  http::TlsFiles files;
};

inline std::vector<BadFilesRow> BadTlsFiles() {
  return {
      {"a certificate that is not there",
       {.certificate_file = TlsFile("none"), .key_file = TlsFile("host.key")}},
      {"a certificate that is none",
       {.certificate_file = TlsFile("host.key"),
        .key_file = TlsFile("host.key")}},
      {"no key", {.certificate_file = TlsFile("host.pem")}},
      {"a key that is none",
       {.certificate_file = TlsFile("host.pem"),
        .key_file = TlsFile("host.pem")}},
      {"the key of another certificate",
       {.certificate_file = TlsFile("host.pem"),
        .key_file = TlsFile("stranger.key")}},
      {"an authority that is none",
       {.certificate_file = TlsFile("host.pem"),
        .key_file = TlsFile("host.key"),
        .authority_file = TlsFile("host.key")}}};
}

}  // namespace acacialug::testing

#endif  // FRAMEWORK_HTTP_TESTS_TLS_FILES_H_
