#include "framework/http/tls_configuration.h"

#include <QFile>
#include <QList>
#include <QSslCertificate>
#include <QSslKey>
#include <QSslSocket>
#include <string>

namespace acacialug::http {
namespace {

Result<QByteArray> ReadFile(const std::string& path) {
  QFile file(QString::fromStdString(path));
  if (path.empty() || !file.open(QIODevice::ReadOnly)) {
    return Error(ResultCode::kCertificateInvalid, path + " cannot be read");
  }
  return file.readAll();
}

Result<QList<QSslCertificate>> LoadCertificates(const std::string& path) {
  const Result<QByteArray> text = ReadFile(path);
  if (!text) {
    return text.error();
  }
  QList<QSslCertificate> certificates =
      QSslCertificate::fromData(*text, QSsl::Pem);
  if (certificates.isEmpty()) {
    return Error(ResultCode::kCertificateInvalid,
                 path + " holds no certificate in PEM");
  }
  return certificates;
}

Result<QSslKey> LoadKey(const std::string& path) {
  const Result<QByteArray> text = ReadFile(path);
  if (!text) {
    return text.error();
  }
  for (const QSsl::KeyAlgorithm algorithm : {QSsl::Ec, QSsl::Rsa}) {
    QSslKey key(*text, algorithm, QSsl::Pem);
    if (!key.isNull()) {
      return key;
    }
  }
  return Error(ResultCode::kCertificateInvalid,
               path + " holds no key in PEM (EC or RSA)");
}

// A private key in PEM carries its public key too (as openssl writes them),
// and encodes it as the certificate does. Without this check a certificate
// renewed without its key would be taken, and every handshake would fail.
bool BelongTogether(const QSslCertificate& certificate, const QSslKey& key) {
  constexpr qsizetype kComparedBytes = 64;  // of a point, or of a modulus
  const QByteArray public_key = certificate.publicKey().toDer();
  return public_key.size() >= kComparedBytes &&
         key.toDer().contains(public_key.right(kComparedBytes));
}

}  // namespace

Result<TlsConfiguration> LoadTls(const TlsFiles& files) {
  if (!files.enabled()) {
    return TlsConfiguration();
  }
  if (!QSslSocket::supportsSsl()) {
    return Error(ResultCode::kCertificateInvalid, "no TLS library was found");
  }
  const auto chain = LoadCertificates(files.certificate_file);
  if (!chain) {
    return chain.error();
  }
  const auto key = LoadKey(files.key_file);
  if (!key) {
    return key.error();
  }
  if (!BelongTogether(chain->front(), *key)) {
    return Error(
        ResultCode::kCertificateInvalid,
        files.key_file + " is not the key of " + files.certificate_file);
  }
  QSslConfiguration configuration;
  configuration.setProtocol(QSsl::TlsV1_2OrLater);
  configuration.setLocalCertificateChain(*chain);
  configuration.setPrivateKey(*key);
  configuration.setPeerVerifyMode(QSslSocket::VerifyNone);
  if (!files.authority_file.empty()) {
    const auto authorities = LoadCertificates(files.authority_file);
    if (!authorities) {
      return authorities.error();
    }
    configuration.setCaCertificates(*authorities);
    configuration.setPeerVerifyMode(QSslSocket::VerifyPeer);
  }
  return TlsConfiguration(
      std::make_shared<const QSslConfiguration>(std::move(configuration)));
}

}  // namespace acacialug::http
