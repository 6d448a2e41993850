#include "daemon/signal_handler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <utility>

#include "runtime/runtime.h"

namespace godwit::daemon {

struct SignalHandler::State : std::enable_shared_from_this<State> {
  State(runtime::Runtime& r, std::function<void()> h)
      : runtime(r), handler(std::move(h)), signals(r.io()) {}

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

SignalHandler::SignalHandler(runtime::Runtime& runtime,
                             const std::vector<int>& numbers,
                             std::function<void()> handler)
    : state_(std::make_shared<State>(runtime, std::move(handler))) {
  for (const int number : numbers) {
    state_->signals.add(number);
  }
  state_->Wait();
}

SignalHandler::~SignalHandler() {
  boost::system::error_code ignored;
  state_->signals.cancel(ignored);
}

}  // namespace godwit::daemon
