#include "framework/net/datagram_socket.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QObject>
#include <QUdpSocket>
#include <string>
#include <utility>
#include <vector>

namespace acacialug::net {

class DatagramSocket::Implementation {
 public:
  explicit Implementation(Options socket_options)
      : options(std::move(socket_options)),
        // One more than is taken, so that a longer one shows.
        space(this->options.max_bytes + 1) {
    this->socket.setProxy(QNetworkProxy::NoProxy);
    QObject::connect(&this->socket, &QUdpSocket::readyRead, &this->context,
                     [this] { this->Read(); });
  }

  Status Bind(const http::Address& address) {
    const QHostAddress host(QString::fromStdString(address.ip));
    if (host.isNull() || !this->socket.bind(host, address.port)) {
      return Error(
          ResultCode::kAddressInUse,
          ToString(address) + ": " + this->socket.errorString().toStdString());
    }
    return Success();
  }

  bool Send(std::string_view datagram, const http::Address& to) {
    const bool sent =
        datagram.size() <= this->options.max_bytes &&
        this->socket.writeDatagram(
            datagram.data(), static_cast<qint64>(datagram.size()),
            QHostAddress(QString::fromStdString(to.ip)), to.port) >= 0;
    if (sent) {
      ++this->counters.sent;
      this->counters.sent_bytes += datagram.size();
    } else {
      ++this->counters.not_sent;
    }
    return sent;
  }

  // False: more than a turn's worth lay there, and the rest is read later.
  bool Read() {
    const Instant begun_at = this->options.now();
    for (std::size_t taken = 0; this->socket.hasPendingDatagrams(); ++taken) {
      if (taken == this->options.max_a_turn) {
        QMetaObject::invokeMethod(
            &this->context, [this] { this->Read(); }, Qt::QueuedConnection);
        return false;
      }
      this->ReadOne();
    }
    if (this->options.on_emptied) {
      this->options.on_emptied(begun_at);
    }
    return true;
  }

  Options options;
  QUdpSocket socket;
  DatagramCounters counters;

 private:
  void ReadOne() {
    QHostAddress host;
    quint16 port = 0;
    const qint64 got = this->socket.readDatagram(
        this->space.data(), static_cast<qint64>(this->space.size()), &host,
        &port);
    if (got < 0) {
      return;  // told of one sent before that nobody took
    }
    const auto bytes = static_cast<std::size_t>(got);
    ++this->counters.received;
    this->counters.received_bytes += bytes;
    if (bytes > this->options.max_bytes) {
      ++this->counters.too_long;
      return;
    }
    this->options.on_datagram({this->space.data(), bytes},
                              {.ip = host.toString().toStdString(),
                               .port = static_cast<std::uint16_t>(port)});
  }

  std::vector<char> space;
  QObject context;  // ends queued reads with this
};

DatagramSocket::DatagramSocket(Options options)
    : implementation(std::make_unique<Implementation>(std::move(options))) {}

DatagramSocket::~DatagramSocket() = default;

Status DatagramSocket::Bind(const http::Address& address) {
  return this->implementation->Bind(address);
}

std::uint16_t DatagramSocket::port() const {
  return this->implementation->socket.localPort();
}

bool DatagramSocket::Send(std::string_view datagram, const http::Address& to) {
  return this->implementation->Send(datagram, to);
}

bool DatagramSocket::ReadPending() {
  return this->implementation->Read();
}

const DatagramCounters& DatagramSocket::counters() const {
  return this->implementation->counters;
}

}  // namespace acacialug::net
