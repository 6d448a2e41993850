#ifndef LINK_ENDPOINT_H_
#define LINK_ENDPOINT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "link/connection_id.h"

namespace boost::asio {
class io_context;
}

namespace godwit::link {

// Callbacks of an Endpoint, called on the I/O thread.
struct EndpointSink {
  std::function<ConnectionId()> next_id;
  std::function<void(ConnectionId)> on_open;
  std::function<void(ConnectionId, const std::string& message)> on_message;
  // An incoming connection failed before it opened.
  std::function<void(base::Error reason)> on_reject;
  // Called once for each connection; `reason` is kNone for a clean close.
  std::function<void(ConnectionId, base::Error reason)> on_close;
};

// PEM files for mutual authentication.
struct TlsFiles {
  std::string certificate;
  std::string key;
  std::string authority;
};

// Manages websocketpp connections, identified by id. All calls on the I/O
// thread, except Listen, which is called before any other.
class Endpoint {
 public:
  virtual ~Endpoint() = default;

  // Starts to accept connections. Returns the listening port, or nullopt with
  // `error` set.
  virtual std::optional<uint16_t> Listen(const std::string& ip,
                                         uint16_t port,
                                         base::Error& error) = 0;
  virtual void Dial(ConnectionId id, const std::string& ip, uint16_t port) = 0;
  virtual void Send(ConnectionId id, const std::string& message) = 0;
  // Closes with a WebSocket close handshake of bounded duration.
  virtual void Close(ConnectionId id) = 0;
  // Closes the socket at once and reports `reason`.
  virtual void Abort(ConnectionId id, base::Error reason) = 0;
  virtual size_t queued_bytes(ConnectionId id) const = 0;
  // Uses these files for new connections. May be called on any thread. Returns
  // false with `error` set when a file can't be used, and keeps the previous
  // files. Only for an endpoint with TLS.
  virtual bool ReloadTls(const TlsFiles& files, base::Error& error) = 0;
  // Closes all connections and makes no further callbacks. Must be the last
  // call.
  virtual void Shutdown() = 0;
};

std::shared_ptr<Endpoint> MakePlainEndpoint(boost::asio::io_context& io,
                                            size_t max_message_bytes,
                                            EndpointSink sink);

// Returns null with `error` set when a file can't be used.
std::shared_ptr<Endpoint> MakeTlsEndpoint(boost::asio::io_context& io,
                                          size_t max_message_bytes,
                                          const TlsFiles& files,
                                          EndpointSink sink,
                                          base::Error& error);

}  // namespace godwit::link

#endif  // LINK_ENDPOINT_H_
