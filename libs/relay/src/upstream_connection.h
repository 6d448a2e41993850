#ifndef RELAY_UPSTREAM_CONNECTION_H_
#define RELAY_UPSTREAM_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/millis.h"
#include "relay/answer_handler.h"
#include "relay/answer_reader.h"
#include "relay/outgoing_request.h"
#include "relay/upstream_pool.h"
#include "slow_peer_guard.h"

namespace godwit::relay {

// A connection of an UpstreamPool. Serves one request at a time.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(UpstreamPool& pool, base::Endpoint server);

  // Starts connecting; the request is sent once the connection is open.
  void Open(base::Millis now);
  // Assigns a request to an idle or new connection.
  void Start(base::Millis now,
             int64_t id,
             OutgoingRequest request,
             AnswerHandler& handler);

  // Closes the connection without calling the handler.
  void Drop();
  void Pause();
  void Resume();

  // Fails the request if the connection has not opened within `timeout`.
  void CheckConnect(base::Millis now, base::Millis timeout);
  // Fails the request if its server has no room for it and is gone.
  void CheckSending(base::Millis now);

  // True if a request with this id was assigned to the connection; false for an
  // empty id.
  bool HasCarried(const std::string& id) const;
  // True once the connection has carried as many requests as it can tell apart.
  bool is_exhausted() const noexcept;

  const base::Endpoint& server() const noexcept { return server_; }
  int64_t request_id() const noexcept { return request_id_; }
  bool closed() const noexcept { return closed_; }
  // Time from which the idle connection must not be reused.
  base::Millis idle_until() const noexcept { return idle_until_; }
  // Time at which the connection became idle.
  base::Millis idle_since() const noexcept { return idle_since_; }
  void BecomeIdle(base::Millis now, base::Millis idle_timeout);

 private:
  // Bytes per read. An event is far smaller, and the answer to a prompt fits
  // too.
  static constexpr size_t kReadBytes = 8 * 1024;

  void OnConnected(const boost::system::error_code& error);
  void Write();
  void Read();
  void OnRead(const boost::system::error_code& error, size_t size);
  void Consume();
  void BeginAnswer();
  bool OnHead(const AnswerHead& head);
  void OnBody(std::string_view bytes);
  void FinishAnswer();
  void Fail(AnswerHandler::Failure failure);
  void Close();

  UpstreamPool& pool_;
  const base::Endpoint server_;
  boost::asio::ip::tcp::socket socket_;
  SlowPeerGuard guard_;
  std::array<char, kReadBytes> buffer_;
  std::string inbox_;

  // Digests of the ids of the requests that it has carried.
  std::vector<uint64_t> carried_;
  int64_t request_id_ = 0;
  OutgoingRequest request_;
  AnswerHandler* handler_ = nullptr;
  std::optional<AnswerReader> reader_;
  // An answer has begun on the connection.
  bool has_answered_ = false;
  // The answer to the current request has begun; before that, how many bytes
  // have been received.
  bool has_own_answer_ = false;
  size_t bytes_before_answer_ = 0;
  // The answer being read belongs to another request and is discarded.
  bool skipping_answer_ = false;
  size_t head_sent_ = 0;
  size_t body_sent_ = 0;
  bool open_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool awaiting_writable_ = false;
  // A write has failed: the connection was reset, or is unresponsive.
  bool write_failed_ = false;
  base::Millis opened_at_;
  base::Millis idle_until_;
  base::Millis idle_since_;
  base::Millis started_at_;
  // Idle time of the connection before its current request; empty when the
  // connection was new.
  std::optional<base::Millis> idle_before_send_;
  // Bytes have been received since the request was sent.
  bool received_any_ = false;
  // Idle timeout advertised by the server.
  std::optional<base::Millis> server_idle_timeout_;
};

}  // namespace godwit::relay

#endif  // RELAY_UPSTREAM_CONNECTION_H_
