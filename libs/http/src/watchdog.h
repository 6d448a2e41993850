#ifndef HTTP_SRC_WATCHDOG_H_
#define HTTP_SRC_WATCHDOG_H_

#include <functional>
#include <memory>

#include "base/millis.h"

namespace boost::asio {
class io_context;
}

namespace godwit::http {

// Calls a function when Touch is not called within a time span. Cheap to
// restart: the underlying timer is only re-armed when it would fire too late.
// I/O thread.
class Watchdog {
 public:
  explicit Watchdog(boost::asio::io_context& io);
  ~Watchdog();
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

  // Calls `expired` once when `span` passes without Touch. Replaces an
  // earlier Start.
  void Start(base::Millis span, std::function<void()> expired);
  // Restarts the span of the last Start. No effect when stopped.
  void Touch();
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace godwit::http

#endif  // HTTP_SRC_WATCHDOG_H_
