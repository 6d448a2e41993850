#ifndef REVIEW_STANDINS_CONNECTION_H_
#define REVIEW_STANDINS_CONNECTION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "message.h"

namespace godwit::review {

// A blocking TCP connection on a loopback address that carries HTTP/1.1.
class Connection {
 public:
  explicit Connection(int fd);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns null if the connection can't be opened. `receive_buffer` limits the
  // bytes that the kernel holds for this side; 0 for the kernel's default.
  static std::unique_ptr<Connection> Open(uint16_t port,
                                          int receive_buffer = 0);

  // Reads until the message is complete, the peer closes the connection, or
  // `timeout_ms` has passed. Empty if not even the header was received.
  std::optional<Message> Read(int64_t timeout_ms);
  // Reads at most `limit` bytes of what follows. Empty at the end, after an
  // error, or if nothing was received within `timeout_ms`.
  std::string ReadBytes(size_t limit, int64_t timeout_ms);
  // Returns false if the peer no longer accepts bytes.
  bool Send(std::string_view bytes);
  // Waits up to `timeout_ms` and returns true if the peer has closed the
  // connection. Bytes that it sent meanwhile are kept.
  bool IsClosedByPeer(int64_t timeout_ms);

 private:
  static constexpr size_t kReadBytes = size_t{64} * 1024;

  enum class Received { kBytes, kNothing, kEnd };

  Received Receive(int64_t timeout_ms, size_t limit = kReadBytes);
  // Moves the chunks at the front of what was received to `body`. Returns true
  // once the last one was moved.
  bool TakeChunks(std::string& body);

  const int fd_;
  std::string received_;
  bool ended_ = false;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_CONNECTION_H_
