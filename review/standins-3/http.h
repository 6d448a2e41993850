#ifndef REVIEW_STANDINS_3_HTTP_H_
#define REVIEW_STANDINS_3_HTTP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Milliseconds of the steady clock.
int64_t NowMs();
void SleepMs(int64_t span);

// A message with the names of its headers in lower case.
struct Message {
  // Request line or status line.
  std::string start;
  std::string method;
  std::string target;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

// A TCP connection with blocking calls and time limits. It is closed by the
// destructor.
class Connection {
 public:
  explicit Connection(int fd);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects to a port of 127.0.0.1; fails within `limit_ms`. The kernel holds
  // about `receive_bytes` that are not read yet; 0 for its default.
  static int Dial(uint16_t port, int64_t limit_ms, int receive_bytes = 0);

  bool valid() const { return fd_ >= 0; }
  bool Write(const std::string& bytes);
  // Reads up to the next line end. Fails at `deadline` or at the end of the
  // connection.
  bool ReadLine(std::string* line, int64_t deadline);
  bool ReadBytes(size_t count, std::string* bytes, int64_t deadline);
  // Reads the start line and the headers.
  bool ReadHead(Message* message, int64_t deadline);
  // Reads a body with a length or in chunks; `on_chunk` gets each chunk as it
  // arrives. True only if the body is complete.
  bool ReadBody(Message* message,
                int64_t deadline,
                const std::function<void(const std::string&)>& on_chunk = {});
  // Reads and drops what has arrived. Returns the number of bytes.
  size_t ReadAvailable();
  // True if the peer has closed the connection.
  bool IsClosedByPeer();
  // Bytes that were received and not read.
  size_t buffered() const { return buffer_.size(); }
  // Wakes a thread that reads.
  void Shutdown();

 private:
  bool Fill(int64_t deadline);

  int fd_;
  std::string buffer_;
};

// A server on a free port of 127.0.0.1 with one thread for each connection.
// The handler returns false to close the connection.
class HttpServer {
 public:
  using Handler = std::function<bool(Connection&, const Message&)>;

  explicit HttpServer(Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const { return port_; }

 private:
  void Accept();
  void Serve(int fd);

  Handler handler_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<bool> stops_{false};
  std::mutex mutex_;
  std::map<int, Connection*> connections_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// A port that is free now.
uint16_t FreePort();

std::string Response(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body);

}  // namespace review

#endif  // REVIEW_STANDINS_3_HTTP_H_
