#ifndef REVIEW_STANDINS_2_SOCKET_H_
#define REVIEW_STANDINS_2_SOCKET_H_

#include <cstdint>
#include <string>

namespace godwit::review {

// A blocking TCP socket on a loopback address.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;

  static Socket Connect(uint16_t port);
  // Listens on a free port, which is written to `port`.
  static Socket Listen(uint16_t* port);

  bool is_open() const noexcept { return fd_ >= 0; }
  // Waits for a connection; not open if none comes in time.
  Socket Accept(int timeout_ms) const;
  bool Send(const std::string& bytes) const;
  // Appends received bytes. Returns false at the end of the connection, after
  // an error, and if nothing is received in time.
  bool Receive(std::string* bytes, int timeout_ms) const;
  bool IsReadable(int timeout_ms) const;
  void Close();
  // Closes the connection with a reset.
  void Reset();

 private:
  int fd_ = -1;
};

// Returns a port on which nothing listens.
uint16_t FreePort();

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_2_SOCKET_H_
