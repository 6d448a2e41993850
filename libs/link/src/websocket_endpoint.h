#ifndef LINK_WEBSOCKET_ENDPOINT_H_
#define LINK_WEBSOCKET_ENDPOINT_H_

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>

#include "endpoint.h"

namespace godwit::link {

// Endpoint for one websocketpp security policy. `Security` provides the server
// and client configurations and the URL scheme, prepares the websocketpp
// endpoints, reloads the TLS files and reports why a handshake failed.
// The handlers of a connection own the endpoint, so that it outlives their
// pending operations.
template <typename Security>
class WebsocketEndpoint
    : public Endpoint,
      public std::enable_shared_from_this<WebsocketEndpoint<Security>> {
 public:
  WebsocketEndpoint(boost::asio::io_context& io,
                    size_t max_message_bytes,
                    Security security,
                    EndpointSink sink)
      : io_(io), security_(std::move(security)), sink_(std::move(sink)) {
    Prepare(server_, max_message_bytes);
    Prepare(client_, max_message_bytes);
    server_.set_reuse_addr(true);
  }

  std::optional<uint16_t> Listen(const std::string& ip,
                                 uint16_t port,
                                 base::Error& error) override {
    boost::system::error_code address_error;
    const auto address = boost::asio::ip::make_address(ip, address_error);
    websocketpp::lib::error_code ec = address_error;
    if (!ec) {
      server_.listen(boost::asio::ip::tcp::endpoint(address, port), ec);
    }
    if (ec) {
      error = base::Error(base::ErrorKind::kInvalidArgument,
                          "can't listen on " + ip + ":" + std::to_string(port) +
                              ": " + ec.message(),
                          "give an IP number of this machine and a free port");
      return std::nullopt;
    }
    const auto self = this->shared_from_this();
    server_.set_open_handler(
        [self](websocketpp::connection_hdl handle) { self->Accept(handle); });
    server_.set_fail_handler(
        [self](websocketpp::connection_hdl handle) { self->Reject(handle); });
    websocketpp::lib::error_code accept_error;
    server_.start_accept(accept_error);
    boost::system::error_code port_error;
    return server_.get_local_endpoint(port_error).port();
  }

  void Dial(ConnectionId id, const std::string& ip, uint16_t port) override {
    const std::string host =
        ip.find(':') == std::string::npos ? ip : "[" + ip + "]";
    const std::string url = std::string(Security::kScheme) + "://" + host +
                            ":" + std::to_string(port) + "/link";
    websocketpp::lib::error_code ec;
    const auto connection = client_.get_connection(url, ec);
    if (ec) {
      sink_.on_close(id, ConnectionFailed(ec));
      return;
    }
    dialled_[id] = connection;
    const auto self = this->shared_from_this();
    connection->set_open_handler(
        [self, id](const auto& /*handle*/) { self->FinishDial(id); });
    Watch(connection, id, dialled_);
    client_.connect(connection);
  }

  void Send(ConnectionId id, const std::string& message) override {
    WithConnection(id, [&message](auto& connection) {
      connection.send(message, websocketpp::frame::opcode::binary);
    });
  }

  void Close(ConnectionId id) override {
    WithConnection(id, [](auto& connection) {
      websocketpp::lib::error_code ec;
      connection.close(websocketpp::close::status::going_away, "", ec);
      if (ec) {
        CloseSocket(connection);
      }
    });
  }

  void Abort(ConnectionId id, base::Error reason) override {
    const bool known =
        WithConnection(id, [](auto& connection) { CloseSocket(connection); });
    if (known) {
      Forget(id);
      sink_.on_close(id, std::move(reason));
    }
  }

  size_t queued_bytes(ConnectionId id) const override {
    if (const auto found = dialled_.find(id); found != dialled_.end()) {
      return found->second->get_buffered_amount();
    }
    const auto found = accepted_.find(id);
    return found == accepted_.end() ? 0 : found->second->get_buffered_amount();
  }

  void Shutdown() override {
    websocketpp::lib::error_code ec;
    if (server_.is_listening()) {
      server_.stop_listening(ec);
    }
    for (const auto& [id, connection] : std::exchange(dialled_, {})) {
      CloseSocket(*connection);
    }
    for (const auto& [id, connection] : std::exchange(accepted_, {})) {
      CloseSocket(*connection);
    }
    sink_ = EndpointSink();
    shut_down_ = true;
    server_.set_open_handler(nullptr);
    server_.set_fail_handler(nullptr);
  }

  bool ReloadTls(const TlsFiles& files, base::Error& error) override {
    return security_.Reload(files, error);
  }

 private:
  using Server = websocketpp::server<typename Security::ServerConfig>;
  using Client = websocketpp::client<typename Security::ClientConfig>;
  using ServerConnection = typename Server::connection_ptr;
  using ClientConnection = typename Client::connection_ptr;

  static constexpr long kCloseHandshakeMillis = 500;

  template <typename Side>
  void Prepare(Side& side, size_t max_message_bytes) {
    side.clear_access_channels(websocketpp::log::alevel::all);
    side.clear_error_channels(websocketpp::log::elevel::all);
    side.init_asio(&io_);
    side.set_max_message_size(max_message_bytes);
    side.set_close_handshake_timeout(kCloseHandshakeMillis);
    security_.Prepare(side);
  }

  void Accept(const websocketpp::connection_hdl& handle) {
    websocketpp::lib::error_code ec;
    const auto connection = server_.get_con_from_hdl(handle, ec);
    if (ec || shut_down_) {
      return;
    }
    const ConnectionId id = sink_.next_id();
    accepted_[id] = connection;
    Watch(connection, id, accepted_);
    SendWithoutDelay(*connection);
    sink_.on_open(id);
  }

  void Reject(const websocketpp::connection_hdl& handle) {
    websocketpp::lib::error_code ec;
    const auto connection = server_.get_con_from_hdl(handle, ec);
    if (!ec && !shut_down_ &&
        connection->get_ec() != websocketpp::error::operation_canceled) {
      sink_.on_reject(ConnectionFailed(connection->get_ec()));
    }
  }

  void FinishDial(ConnectionId id) {
    const auto found = dialled_.find(id);
    if (found == dialled_.end()) {
      return;
    }
    SendWithoutDelay(*found->second);
    sink_.on_open(id);
  }

  template <typename Connection>
  static void SendWithoutDelay(Connection& connection) {
    boost::system::error_code ignored;
    connection.get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                           ignored);
  }

  // Reports received messages and the close of a connection.
  template <typename Connection, typename Connections>
  void Watch(const Connection& connection,
             ConnectionId id,
             Connections& connections) {
    const auto self = this->shared_from_this();
    connection->set_message_handler(
        [self, id, &connections](const auto& /*handle*/, const auto& message) {
          if (connections.count(id) == 0) {
            return;
          }
          self->sink_.on_message(id, message->get_payload());
        });
    const auto end = [self, id, &connections](const auto& /*handle*/) {
      const auto found = connections.find(id);
      if (found == connections.end()) {
        return;
      }
      const base::Error reason = self->CloseReason(*found->second);
      connections.erase(found);
      self->sink_.on_close(id, reason);
    };
    connection->set_fail_handler(end);
    connection->set_close_handler(end);
  }

  template <typename Connection>
  base::Error CloseReason(const Connection& connection) {
    if (connection.get_local_close_code() ==
        websocketpp::close::status::message_too_big) {
      return base::Error(base::ErrorKind::kTooLarge,
                         "message exceeds the size limit",
                         "lower the body limit of the sender");
    }
    if (connection.get_state() == websocketpp::session::state::closed &&
        connection.get_remote_close_code() !=
            websocketpp::close::status::abnormal_close) {
      return {};
    }
    return ConnectionFailed(connection.get_ec());
  }

  base::Error ConnectionFailed(const websocketpp::lib::error_code& reason) {
    const std::string verify_failure = security_.TakeFailure();
    if (!verify_failure.empty()) {
      return base::Error(
          base::ErrorKind::kForbidden,
          "peer has no valid certificate of the fleet: " + verify_failure,
          "give it a valid certificate signed by the fleet's "
          "authority");
    }
    return base::Error(base::ErrorKind::kUnavailable,
                       "connection failed: " + reason.message(),
                       "check that the peer runs and can be reached");
  }

  template <typename Connection>
  static void CloseSocket(Connection& connection) {
    boost::system::error_code ignored;
    connection.get_raw_socket().close(ignored);
  }

  // Returns false when the connection is closed.
  template <typename Use>
  bool WithConnection(ConnectionId id, Use&& use) {
    if (const auto found = dialled_.find(id); found != dialled_.end()) {
      const ClientConnection connection = found->second;
      use(*connection);
      return true;
    }
    if (const auto found = accepted_.find(id); found != accepted_.end()) {
      const ServerConnection connection = found->second;
      use(*connection);
      return true;
    }
    return false;
  }

  void Forget(ConnectionId id) {
    dialled_.erase(id);
    accepted_.erase(id);
  }

  boost::asio::io_context& io_;
  Security security_;
  EndpointSink sink_;
  Server server_;
  Client client_;
  std::unordered_map<ConnectionId, ClientConnection> dialled_;
  std::unordered_map<ConnectionId, ServerConnection> accepted_;
  bool shut_down_ = false;
};

}  // namespace godwit::link

#endif  // LINK_WEBSOCKET_ENDPOINT_H_
