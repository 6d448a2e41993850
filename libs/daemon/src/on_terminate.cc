#include "daemon/on_terminate.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

#include "runtime/runtime.h"

namespace godwit::daemon {

struct OnTerminate::State : std::enable_shared_from_this<State> {
  State(runtime::Runtime& r, std::function<void()> h)
      : runtime(r), handler(std::move(h)), signals(r.io(), SIGTERM, SIGINT) {}

  void Wait() {
    signals.async_wait([self = shared_from_this()](
                           const boost::system::error_code& error, int) {
      if (error) {
        return;
      }
      self->runtime.Post(self->handler);
      self->Wait();
    });
  }

  runtime::Runtime& runtime;
  std::function<void()> handler;
  boost::asio::signal_set signals;
};

OnTerminate::OnTerminate(runtime::Runtime& runtime,
                         std::function<void()> handler)
    : state_(std::make_shared<State>(runtime, std::move(handler))) {
  state_->Wait();
}

OnTerminate::~OnTerminate() {
  boost::system::error_code ignored;
  state_->signals.cancel(ignored);
}

}  // namespace godwit::daemon
