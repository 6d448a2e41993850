#ifndef HTTP_SERVER_H_
#define HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/millis.h"

namespace godwit::runtime {
class Runtime;
}

namespace godwit::http {

class Exchange;

// HTTP/1.1 server with keep-alive. A request that exceeds a limit or is not
// valid HTTP gets a JSON error {"error":{kind,message,remedy,not_run:true}}
// without reaching the handler.
class Server {
 public:
  // Called on the core's dispatching fiber; must not block (Spawn instead).
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  class Builder {
   public:
    // IP address and port to listen on; port 0 lets the kernel choose.
    Builder& Address(std::string ip, uint16_t port);
    // Larger bodies are refused with 413. Default 8 MB.
    Builder& MaxBodyBytes(size_t bytes);
    // Larger headers are refused with 431. Default 16 KB.
    Builder& MaxHeaderBytes(size_t bytes);
    // A request not received completely within this time is refused with 408.
    // Default 10 s.
    Builder& ReadTimeout(base::Millis span);
    // A connection that accepts no response bytes for this long is closed.
    // Default 60 s.
    Builder& WriteTimeout(base::Millis span);
    // A connection beyond this number takes the place of one that is not
    // served. If all are, it is refused with 503, or closed with TLS. Default
    // 10,000.
    Builder& MaxConnections(size_t count);
    // Memory for the bodies of all requests until they are answered; at least
    // twice the largest body is used. A request whose body finds none is
    // refused with 503 as not run. Default 64 MB.
    Builder& HeldBodyBytes(size_t bytes);
    // PEM files; serves TLS when set.
    Builder& Tls(std::string certificate_file, std::string key_file);
    Builder& Handle(Handler handler);
    // Starts to listen. Returns null when the address or a file can't be used;
    // see last_error().
    std::unique_ptr<Server> Build(runtime::Runtime& runtime);
    const base::Error& last_error() const noexcept { return error_; }

   private:
    friend class Server;
    std::string ip_ = "127.0.0.1";
    uint16_t port_ = 0;
    size_t max_body_bytes_ = 8 * 1024 * 1024;
    size_t max_header_bytes_ = 16 * 1024;
    base::Millis read_timeout_ = base::Seconds(10);
    base::Millis write_timeout_ = base::Seconds(60);
    size_t max_connections_ = 10'000;
    size_t held_body_bytes_ = size_t{64} * 1024 * 1024;
    std::string certificate_file_;
    std::string key_file_;
    Handler handler_;
    base::Error error_;
  };

  ~Server();

  // The listening port.
  uint16_t port() const noexcept;

  // Stops accepting connections and closes idle ones; requests in progress are
  // still answered.
  void StopAccepting();

  // Requests whose complete response has not been written to the connection
  // yet. Any thread.
  size_t unanswered() const noexcept;

  // Reloads the certificate and key files for new connections. On failure
  // returns false with `error` set and keeps the previous files.
  bool ReloadTls(base::Error* error);

 private:
  struct State;
  explicit Server(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
};

}  // namespace godwit::http

#endif  // HTTP_SERVER_H_
