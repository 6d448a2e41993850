#ifndef GODWIT_EDGE_EDGE_DAEMON_H_
#define GODWIT_EDGE_EDGE_DAEMON_H_

#include <memory>

#include "base/error.h"

namespace boost::asio {
class io_context;
}

namespace godwit::config {
class Settings;
}

namespace godwit::edge {

// The direct router as a process: connects one dispatcher to sockets, the
// store, logs and metrics. Use it on the thread of `io` only.
class EdgeDaemon {
 public:
  EdgeDaemon(boost::asio::io_context& io, const config::Settings& settings);
  ~EdgeDaemon();
  EdgeDaemon(const EdgeDaemon&) = delete;
  EdgeDaemon& operator=(const EdgeDaemon&) = delete;

  // False if an address can't be used; see last_error().
  bool Start();
  // Begins a graceful shutdown. The I/O context is stopped at its end.
  void Drain();
  const base::Error& last_error() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_EDGE_DAEMON_H_
