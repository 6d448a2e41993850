#include "watchdog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace godwit::http {
namespace {

using Clock = std::chrono::steady_clock;

}  // namespace

struct Watchdog::State : std::enable_shared_from_this<State> {
  explicit State(boost::asio::io_context& io) : timer(io) {}

  void Arm() {
    timer.expires_at(*deadline);
    waiting_until = deadline;
    timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
      if (!ec) {
        self->Fire();
      }
    });
  }

  void Fire() {
    waiting_until.reset();
    if (!deadline) {
      return;
    }
    if (Clock::now() < *deadline) {
      Arm();
      return;
    }
    deadline.reset();
    std::exchange(expired, nullptr)();
  }

  boost::asio::steady_timer timer;
  std::chrono::milliseconds span{0};
  std::optional<Clock::time_point> deadline;
  std::optional<Clock::time_point> waiting_until;
  std::function<void()> expired;
};

Watchdog::Watchdog(boost::asio::io_context& io)
    : state_(std::make_shared<State>(io)) {}

Watchdog::~Watchdog() {
  Stop();
  state_->timer.cancel();
}

void Watchdog::Start(base::Millis span, std::function<void()> expired) {
  state_->span = std::chrono::milliseconds(span.count());
  state_->expired = std::move(expired);
  state_->deadline = Clock::now() + state_->span;
  if (!state_->waiting_until || *state_->waiting_until > *state_->deadline) {
    state_->Arm();
  }
}

void Watchdog::Touch() {
  if (state_->deadline) {
    state_->deadline = Clock::now() + state_->span;
  }
}

void Watchdog::Stop() {
  state_->deadline.reset();
  state_->expired = nullptr;
}

}  // namespace godwit::http
