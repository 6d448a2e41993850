#include <utility>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "websocket_endpoint.h"

namespace godwit::link {
namespace {

struct PlainSecurity {
  using ServerConfig = websocketpp::config::asio;
  using ClientConfig = websocketpp::config::asio_client;
  static constexpr char kScheme[] = "ws";

  template <typename Side>
  void Prepare(Side& /*side*/) {}
  bool Reload(const TlsFiles& /*files*/, base::Error& error) {
    error = base::Error(base::ErrorKind::kInvalidArgument,
                        "the links of this process carry no TLS",
                        "set the TLS files and start the process again");
    return false;
  }
  std::string TakeFailure() { return {}; }
};

}  // namespace

std::shared_ptr<Endpoint> MakePlainEndpoint(boost::asio::io_context& io,
                                            size_t max_message_bytes,
                                            EndpointSink sink) {
  return std::make_shared<WebsocketEndpoint<PlainSecurity>>(
      io, max_message_bytes, PlainSecurity(), std::move(sink));
}

}  // namespace godwit::link
