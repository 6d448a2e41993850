#ifndef RELAY_CALLER_SESSION_H_
#define RELAY_CALLER_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/millis.h"

namespace godwit::relay {

class CallerServer;

// One connection of a caller, and the answer to the request on it. Answers are
// queued and never block. The thread of its server only.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  struct Io;

  CallerSession(CallerServer& server, std::unique_ptr<Io> io);
  ~CallerSession();
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  // Sends a whole answer. `headers` are lines with "\r\n", without a length.
  void Respond(int status, std::string_view headers, std::string_view body);

  // Starts an answer in chunks. With `has_length`, `headers` hold the length
  // and the body goes out as it is.
  void Begin(int status, std::string_view headers, bool has_length);
  // Queues a piece of the body.
  void Write(std::string_view bytes);
  // The answer is whole.
  void End();

  // Closes the connection, so that the caller knows that what it got is not
  // whole. Does not report the caller as gone.
  void Abort();

  // Bytes that the connection has not taken.
  size_t queued_bytes() const noexcept;
  // True while the request on this connection waits for its whole answer.
  bool awaits_answer() const noexcept { return state_ == State::kAnswering; }
  bool closed() const noexcept { return closed_; }

 private:
  friend class CallerServer;

  enum class State : uint8_t { kReading, kAnswering };

  void Start();
  void Read();
  void OnRead(size_t size);
  void Consume();
  void OnWhole();
  void Refuse(int status, const std::string& reason);
  void Queue(std::string_view bytes);
  void Flush();
  void OnWritable();
  void Linger();
  void FinishAnswer();
  void Gone();
  void Close();
  void Tick(base::Millis now);

  CallerServer& server_;
  std::unique_ptr<Io> io_;
  State state_ = State::kReading;
  bool closed_ = false;
  bool close_after_ = false;
  // The last answer is sent; waits for the caller to close its side.
  bool lingering_ = false;
  bool chunked_ = false;
  bool is_head_ = false;
  bool reading_ = false;
  bool waits_to_write_ = false;
  // Bytes of a request have arrived since the last one was whole.
  bool in_request_ = false;
  // When the current phase began: idle, or the first byte of a request.
  base::Millis since_;
};

}  // namespace godwit::relay

#endif  // RELAY_CALLER_SESSION_H_
