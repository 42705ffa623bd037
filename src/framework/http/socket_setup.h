#ifndef FRAMEWORK_HTTP_SOCKET_SETUP_H_
#define FRAMEWORK_HTTP_SOCKET_SETUP_H_

#include <QSslSocket>
#include <QTcpSocket>
#include <cstddef>
#include <memory>
#include <string_view>

#include "framework/global/types/instant.h"
#include "framework/http/tls_configuration.h"

namespace acacialug::http {

// A socket of this project's kind: no proxy, at most `read_buffer_bytes` read
// ahead of its reader (what is beyond stays with the operating system, so that
// the peer is slowed down). A QSslSocket if `tls` is set. Thread safe.
std::unique_ptr<QTcpSocket> MakeSocket(const TlsConfiguration& tls,
                                       std::size_t read_buffer_bytes);

// Options that need an open descriptor: TCP_NODELAY, so that a small write
// does not wait for the peer's acknowledgement, and keep-alive probes, so that
// a peer whose host vanished is noticed. Precondition: connected.
void SetConnectedOptions(QTcpSocket& socket);

// Gives the operating system what it takes now, without the 32 KiB that Qt
// allocates for a write and keeps while the socket lives. Returns how many
// bytes: none if earlier ones wait. Precondition: connected, and not under TLS.
std::size_t SendAtOnce(QTcpSocket& socket, std::string_view bytes);

// Bytes written to the socket that the operating system has not taken.
std::size_t UnsentBytes(const QTcpSocket& socket);

// Closes at once with a reset, so that the peer never takes what it has got
// for a whole message.
void AbortWithReset(QTcpSocket& socket);

// Whether a close resets the connection, as does the end of this process.
// Precondition: connected.
void SetResetOnClose(QTcpSocket& socket, bool resets);

// Tells after a connection's end whether the peer ended it in order. Qt calls
// a reset an orderly end too, so that half a body without a length would pass
// for a whole one; the kernel's state of the connection tells them apart.
class EndProbe {
 public:
  // Precondition: connected; otherwise the end counts as not in order.
  explicit EndProbe(const QTcpSocket& socket);
  ~EndProbe();
  EndProbe(const EndProbe&) = delete;
  EndProbe& operator=(const EndProbe&) = delete;

  bool EndedInOrder() const;

 private:
  int descriptor;  // its own, since Qt closes the socket's at the end
};

// True if the peer has closed its side, also while data from it is unread.
bool HasPeerClosed(const QTcpSocket& socket);

// How long ago the peer's last bytes came to this host, read or not (not the
// end of its side), to the operating system's tick; zero if it does not tell.
Duration SinceLastBytes(const QTcpSocket& socket);

// Tells the peer that nothing more comes, and still reads. Plain text only.
void ShutDownWriting(QTcpSocket& socket);

// Accepts a peer whose certificate is good but bears another name: peers are
// met by IP number. Every other fault of a certificate still ends the
// handshake. Precondition: before it begins.
void IgnoreNameMismatch(QSslSocket& socket);

// False if the peer has closed, or sent what nobody asked for, and Qt does not
// know yet. For a connection that is idle.
bool IsQuiet(const QTcpSocket& socket);

}  // namespace acacialug::http

#endif  // FRAMEWORK_HTTP_SOCKET_SETUP_H_
