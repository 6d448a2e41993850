#ifndef HTTP_SRC_SESSION_CONTEXT_H_
#define HTTP_SRC_SESSION_CONTEXT_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <set>

#include "base/millis.h"
#include "http/server.h"

namespace godwit::http {

class Session;

// State shared by the connections of one server.
struct SessionContext {
  explicit SessionContext(runtime::Runtime& owner) : runtime(owner) {}

  runtime::Runtime& runtime;
  size_t max_body_bytes = 0;
  size_t max_header_bytes = 0;
  base::Millis read_timeout;
  base::Millis write_timeout;
  size_t max_connections = 0;
  // Core thread; empty once the server is destroyed.
  Server::Handler handler;
  // I/O thread: set when no new connections are accepted and open ones close as
  // soon as they are idle.
  bool stopping = false;
  // I/O thread: the open connections.
  std::set<Session*> sessions;
  // Requests whose complete response has not been written to the connection
  // yet. Modified on the I/O thread only.
  std::atomic<size_t> unanswered{0};
};

}  // namespace godwit::http

#endif  // HTTP_SRC_SESSION_CONTEXT_H_
