#ifndef HTTP_SRC_SESSION_CONTEXT_H_
#define HTTP_SRC_SESSION_CONTEXT_H_

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>

#include "base/millis.h"
#include "guard/body_memory.h"
#include "guard/connection_places.h"
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
  // I/O thread: the open connections, by their places.
  guard::ConnectionPlaces places;
  std::map<guard::ConnectionPlaces::Id, Session*> sessions;
  // I/O thread: bodies of requests until their answers have left.
  guard::BodyMemory bodies{0};

  // I/O thread: closes the connection that gives way to a new one; false if all
  // are served.
  bool MakePlace();
  // Requests whose complete response has not been written to the connection
  // yet. Modified on the I/O thread only.
  std::atomic<size_t> unanswered{0};
};

}  // namespace godwit::http

#endif  // HTTP_SRC_SESSION_CONTEXT_H_
