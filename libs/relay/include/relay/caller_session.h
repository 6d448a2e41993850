#ifndef RELAY_CALLER_SESSION_H_
#define RELAY_CALLER_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/millis.h"
#include "guard/connection_places.h"

namespace godwit::relay {

class CallerServer;

// A connection of a caller and the answer to the current request on it. Answers
// are queued; no method blocks. Must be used on the thread of its server only.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  struct Io;

  CallerSession(CallerServer& server, std::unique_ptr<Io> io);
  ~CallerSession();
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  // Sends a complete answer. `headers` holds lines that end with "\r\n",
  // without Content-Length.
  void Respond(int status, std::string_view headers, std::string_view body);

  // Starts an answer with chunked transfer coding. With `has_length`, `headers`
  // contains Content-Length and the body is sent without transfer coding.
  void Begin(int status, std::string_view headers, bool has_length);
  // Queues a part of the body.
  void Write(std::string_view bytes);
  // Completes the answer.
  void End();

  // Closes the connection, so that the caller detects that the answer is
  // incomplete. OnCallerDisconnected is not called.
  void Abort();

  // Bytes queued that the socket has not accepted yet.
  size_t queued_bytes() const noexcept;
  // Bytes of an answer that may wait here, beyond which it should not be read
  // on.
  size_t buffer_share() const noexcept;
  // True while the answer to the request on this connection is incomplete.
  bool awaits_answer() const noexcept { return state_ == State::kAnswering; }
  // True while a request or its answer is incomplete.
  bool is_busy() const noexcept {
    return awaits_answer() || receiving_request_ || queued_bytes() > 0;
  }
  bool closed() const noexcept { return closed_; }

 private:
  friend class CallerServer;

  enum class State : uint8_t { kReading, kAnswering };

  void Start();
  void Read();
  void OnRead(size_t size);
  // Handles bytes received after the last request of the connection.
  void Discard(size_t size);
  // True while answers that the caller does not read fill the output queue.
  bool awaits_reader() const noexcept;
  void Consume();
  // True if the caller closed its connection after it had sent its request,
  // which may have waited to be read on a busy VM. Reads what else was
  // received.
  bool HasCallerDisconnected();
  // Reserves memory for the request that is being received, with the rest of
  // its body; false if it has to wait.
  bool ReserveBody();
  // Reserves memory for a request that has been received whole; false if there
  // is none.
  bool ReserveRequest();
  void ReleaseBody();
  // Reads on once the body finds room, or refuses the request.
  void AwaitRoom(base::Millis now);
  std::shared_ptr<const std::string> TakeBody();
  void OnRequestComplete();
  // True if the body arrives at less than a modest rate, while it holds memory.
  bool IsBodySlow(base::Millis now) const;
  void RefuseSlowBody();
  void RefuseForMemory();
  void Refuse(int status, const std::string& reason);
  void Queue(std::string_view bytes);
  // Removes bytes from the output queue that have been sent.
  void DropSent();
  // Tells the server how much memory the buffers take.
  void AccountBuffers();
  // Bytes in the buffers, as accounted last.
  size_t held_bytes() const noexcept { return held_bytes_; }
  void Flush();
  void OnWriteFailed();
  void OnWritable();
  void Linger();
  void FinishAnswer();
  void OnDisconnected();
  void Close();
  // Closes the connection unless the caller has begun to send a request.
  void CloseIfIdle();
  void Tick(base::Millis now);
  // Handles an answer of which the caller reads nothing.
  void CheckReading(base::Millis now);
  // True if bytes of the caller wait to be read.
  bool HasUnreadBytes() const;
  guard::ConnectionPhase Phase() const noexcept;
  // Tells the server the phase of the connection.
  void UpdatePhase();

  CallerServer& server_;
  guard::ConnectionPlaces::Id place_ = 0;
  std::unique_ptr<Io> io_;
  State state_ = State::kReading;
  bool closed_ = false;
  bool close_after_answer_ = false;
  // The last answer was sent; waiting for the caller to close its side.
  bool lingering_ = false;
  bool chunked_ = false;
  // The caller has read nothing of its answer for a while.
  bool is_unread_ = false;
  // A request has been received on the connection.
  bool has_request_ = false;
  bool is_head_ = false;
  bool reading_ = false;
  bool awaiting_writable_ = false;
  size_t held_bytes_ = 0;
  // Bytes received earlier are about to be parsed.
  bool consume_pending_ = false;
  // Bytes received after the last request.
  size_t discarded_bytes_ = 0;
  // Part of a request has been received since the last complete one.
  bool receiving_request_ = false;
  // Start of the current phase: idle, receiving a request, or lingering.
  base::Millis phase_started_at_;
};

}  // namespace godwit::relay

#endif  // RELAY_CALLER_SESSION_H_
