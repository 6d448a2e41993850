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

// What an Endpoint reports, on the I/O thread.
struct EndpointSink {
  std::function<ConnectionId()> next_id;
  std::function<void(ConnectionId)> on_open;
  std::function<void(ConnectionId, const std::string& message)> on_message;
  // An incoming connection failed before it was open.
  std::function<void(base::Error reason)> on_reject;
  // Once for each connection; `reason` is kNone for an orderly end.
  std::function<void(ConnectionId, base::Error reason)> on_close;
};

// PEM files for mutual authentication.
struct TlsFiles {
  std::string certificate;
  std::string key;
  std::string authority;
};

// websocketpp connections behind ids. All calls on the I/O thread, but Listen
// before anything else.
class Endpoint {
 public:
  virtual ~Endpoint() = default;

  // Accepts connections. The port, or empty with `error` set.
  virtual std::optional<uint16_t> Listen(const std::string& ip,
                                         uint16_t port,
                                         base::Error& error) = 0;
  virtual void Dial(ConnectionId id, const std::string& ip, uint16_t port) = 0;
  virtual void Send(ConnectionId id, const std::string& message) = 0;
  // Closes with a closing handshake of bounded time.
  virtual void Close(ConnectionId id) = 0;
  // Closes the socket at once and reports `reason`.
  virtual void Abort(ConnectionId id, base::Error reason) = 0;
  virtual size_t queued_bytes(ConnectionId id) const = 0;
  // Uses these files for new connections; any thread. False with `error` set
  // when a file can't be used, and the old ones stay in force. Only for an
  // endpoint with TLS.
  virtual bool ReloadTls(const TlsFiles& files, base::Error& error) = 0;
  // Closes everything and reports nothing more. No calls after it.
  virtual void Shutdown() = 0;
};

std::shared_ptr<Endpoint> MakePlainEndpoint(boost::asio::io_context& io,
                                            size_t max_message_bytes,
                                            EndpointSink sink);

// Null with `error` set when a file can't be used.
std::shared_ptr<Endpoint> MakeTlsEndpoint(boost::asio::io_context& io,
                                          size_t max_message_bytes,
                                          const TlsFiles& files,
                                          EndpointSink sink,
                                          base::Error& error);

}  // namespace godwit::link

#endif  // LINK_ENDPOINT_H_
