#ifndef HTTP_TESTS_TLS_CONNECTION_H_
#define HTTP_TESTS_TLS_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <string>

namespace godwit::http {

// A blocking TLS connection that trusts any certificate.
class TlsConnection {
 public:
  explicit TlsConnection(uint16_t port) : stream_(io_, context_) {
    const boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::address_v4::loopback(), port);
    stream_.next_layer().connect(endpoint);
    stream_.handshake(boost::asio::ssl::stream_base::client, error_);
  }

  bool Send(const std::string& bytes) {
    boost::asio::write(stream_, boost::asio::buffer(bytes), error_);
    return !error_;
  }

  std::string ReadUntil(const std::string& text) {
    std::string received;
    boost::asio::read_until(stream_, boost::asio::dynamic_buffer(received),
                            text, error_);
    return received;
  }

  std::string ReadToEnd() {
    std::string received;
    boost::asio::read(stream_, boost::asio::dynamic_buffer(received), error_);
    return received;
  }

  // Whether the peer closed the TLS session with close_notify.
  bool closed_cleanly() const { return error_ == boost::asio::error::eof; }

  std::string SubjectOfPeer() {
    X509* peer = SSL_get1_peer_certificate(stream_.native_handle());
    char name[64] = {};
    X509_NAME_get_text_by_NID(X509_get_subject_name(peer), NID_commonName, name,
                              sizeof(name));
    X509_free(peer);
    return name;
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ssl::context context_{boost::asio::ssl::context::tls_client};
  boost::asio::ssl::stream<boost::asio::ip::tcp::socket> stream_;
  boost::system::error_code error_;
};

}  // namespace godwit::http

#endif  // HTTP_TESTS_TLS_CONNECTION_H_
