#ifndef REVIEW_STANDINS_2_WEB_SERVER_H_
#define REVIEW_STANDINS_2_WEB_SERVER_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <thread>

#include "record.h"
#include "socket.h"

namespace godwit::review {

// A plain web server that is no backend server of the platform and has no page
// under the paths of its routes.
class WebServer {
 public:
  explicit WebServer(Record& record);
  ~WebServer();
  WebServer(const WebServer&) = delete;
  WebServer& operator=(const WebServer&) = delete;

  uint16_t port() const noexcept { return port_; }
  int requests() const noexcept { return requests_; }

 private:
  void Accept();
  void Serve(Socket connection);

  Record& record_;
  uint16_t port_ = 0;
  const Socket listener_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> requests_{0};
  std::list<std::thread> connections_;
  std::thread acceptor_;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_2_WEB_SERVER_H_
