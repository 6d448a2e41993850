#ifndef RELAY_CALLER_SERVER_H_
#define RELAY_CALLER_SERVER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/millis.h"
#include "guard/connection_places.h"
#include "relay/closed_connections.h"
#include "relay/link_traffic.h"

namespace boost::asio {
class io_context;
}

namespace godwit::guard {
class BodyMemory;
}

namespace godwit::relay {

class CallerHandler;
class CallerSession;

// Accepts HTTP/1.1 connections of callers. Must be used on the thread of `io`
// only.
class CallerServer {
 public:
  // Limits on the size and duration of requests.
  struct Limits {
    size_t header_bytes = size_t{16} * 1024;
    size_t body_bytes = size_t{8} * 1024 * 1024;
    // Memory for the bodies of all requests that are received or in progress;
    // at least twice the largest body is used. Further ones are not read until
    // there is room, and refused as not run if that takes a second.
    size_t held_body_bytes = size_t{64} * 1024 * 1024;
    // Memory for answers that callers have not read, and for bytes received
    // behind the requests in progress. The connections that hold most of it are
    // closed when it is exceeded.
    size_t held_buffer_bytes = size_t{64} * 1024 * 1024;
    // Maximum time from the first byte of a request to its last.
    base::Millis request_timeout{10000};
    // Maximum idle time between requests on one connection.
    base::Millis keep_alive_timeout{15000};
    // Maximum time in which a caller reads nothing of its answer.
    base::Millis unread_timeout{60'000};
    // Maximum number of open connections. A further one takes the place of one
    // that is not served, see ConnectionPlaces, or is closed.
    size_t connections = 10'000;
  };

  // A caller that acknowledges nothing for this long, while bytes for it wait,
  // counts as disconnected.
  static constexpr base::Millis kAckTimeout{5000};

  CallerServer(boost::asio::io_context& io, CallerHandler& handler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Starts accepting connections. Returns false when the address cannot be
  // used; see last_error().
  bool Listen(const base::Endpoint& address);
  const base::Error& last_error() const noexcept { return error_; }

  // Takes effect for requests that begin after the call.
  void SetLimits(const Limits& limits);
  const Limits& limits() const noexcept { return limits_; }

  // Closes each connection after its next answer. New connections are still
  // accepted.
  void Drain() noexcept { draining_ = true; }
  bool draining() const noexcept { return draining_; }

  // Closes the next `count` connections that send an answer after it.
  void CloseAfterAnswers(size_t count) noexcept { to_close_ = count; }

  // Stops accepting connections. With the next ticks, closes those without an
  // unsent answer; requests that callers had begun to send are still handed on.
  void Close();

  // Closes connections that exceeded a timeout. Must be called every few tens
  // of milliseconds.
  void Tick();

  size_t connections() const noexcept { return sessions_.size(); }
  // Bytes of answers that one connection may hold before its answer is not read
  // on: its share of half of the memory for buffers. The other half is for the
  // beginnings of answers that are not sent yet.
  size_t buffer_share() const noexcept;
  // Connections that were closed at a limit since the start.
  const ClosedConnections& closed_at_limits() const noexcept { return closed_; }
  const LinkTraffic& traffic() const noexcept { return traffic_; }
  // Number of connections with a request that has not been received or whose
  // answer has not been sent completely.
  size_t unanswered() const noexcept;

 private:
  friend class CallerSession;
  struct Acceptor;

  void Accept();
  // Accepts again after a while, once a connection was closed.
  void RetryAccept();
  // Accepts the connections that callers have opened so far.
  void AcceptWaiting();
  // Starts a session on the connection that was accepted last.
  void AddSession();
  // Closes the connection that gives way; false if all are served.
  bool MakePlace();
  void Remove(const std::shared_ptr<CallerSession>& session);
  // Accounts for the buffers of a session, which held `before` bytes.
  void OnBuffersChanged(size_t before, size_t now);
  // Refuses the body that arrives most slowly, so that one that waits for
  // memory finds some.
  void RefuseSlowestBody(base::Millis now);
  // Closes the sessions that hold most until the rest fits. Must not be called
  // from within a call of the handler, which is told of them.
  void CloseLargestHolders();
  // Whether a connection is to be closed after the answer that begins.
  bool TakeClose() noexcept;

  boost::asio::io_context& io_;
  CallerHandler& handler_;
  Limits limits_;
  // Shared with the bodies, which may outlive the server.
  const std::shared_ptr<guard::BodyMemory> body_memory_;
  bool draining_ = false;
  // Connections that are still to be closed after an answer.
  size_t to_close_ = 0;
  LinkTraffic traffic_;
  // Bytes in the buffers of all sessions.
  size_t held_bytes_ = 0;
  std::optional<base::Millis> closing_since_;
  base::Error error_;
  std::shared_ptr<Acceptor> acceptor_;
  guard::ConnectionPlaces places_;
  ClosedConnections closed_;
  std::unordered_map<guard::ConnectionPlaces::Id,
                     std::shared_ptr<CallerSession>>
      sessions_;
};

}  // namespace godwit::relay

#endif  // RELAY_CALLER_SERVER_H_
