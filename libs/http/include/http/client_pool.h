#ifndef HTTP_CLIENT_POOL_H_
#define HTTP_CLIENT_POOL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/millis.h"

namespace godwit::runtime {
class Runtime;
}

namespace godwit::http {

class ConnectionPool;

// Pool of HTTP/1.1 connections to one server. A connection idle for longer than
// the maximum idle time is not reused, since the peer may no longer have state
// for it.
class ClientPool {
 public:
  // `ip` is an IP address.
  ClientPool(runtime::Runtime& runtime, std::string ip, uint16_t port);
  ~ClientPool();
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  // Maximum time for which an unused connection is kept for reuse. Default 5 s;
  // zero for a new connection for each call.
  // Returns *this.
  ClientPool& MaxIdleTime(base::Millis span);

 private:
  friend class ClientCall;
  std::shared_ptr<ConnectionPool> connections_;
};

}  // namespace godwit::http

#endif  // HTTP_CLIENT_POOL_H_
