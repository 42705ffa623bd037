#ifndef FRAMEWORK_HTTP_TLS_CONFIGURATION_H_
#define FRAMEWORK_HTTP_TLS_CONFIGURATION_H_

#include <QSslConfiguration>
#include <memory>

#include "framework/global/types/result.h"
#include "framework/http/http_types.h"

namespace acacialug::http {

// What a connection needs for TLS, loaded once and shared; empty: plain text.
using TlsConfiguration = std::shared_ptr<const QSslConfiguration>;

// Loads certificate, key and authority; an empty configuration if `files` is
// not enabled (the TLS library is then not even loaded, which would cost an
// idle process several megabytes). TLS 1.2 and up. With an authority the peer
// must show a certificate by it; whose name the certificate bears is not
// checked, since peers are met by IP number. Errors: kCertificateInvalid.
// Thread safe.
Result<TlsConfiguration> LoadTls(const TlsFiles& files);

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_TLS_CONFIGURATION_H_
