#include "call_events.h"

#include <mutex>
#include <utility>

namespace godwit::http {
namespace {

constexpr size_t kMaxQueuedBytes = 64 * 1024;

size_t BodyBytes(const CallEvent& event) {
  const auto* body = std::get_if<CallBody>(&event);
  return body == nullptr ? 0 : body->bytes.size();
}

}  // namespace

bool CallEvents::Push(CallEvent event) {
  bool wait = false;
  {
    const std::lock_guard<boost::fibers::mutex> lock(mutex_);
    queued_bytes_ += BodyBytes(event);
    events_.push_back(std::move(event));
    sender_waits_ = queued_bytes_ > kMaxQueuedBytes;
    wait = sender_waits_;
  }
  filled_.notify_one();
  return wait;
}

CallEvent CallEvents::Pop(bool* resume) {
  std::unique_lock<boost::fibers::mutex> lock(mutex_);
  filled_.wait(lock, [this] { return !events_.empty(); });
  CallEvent event = std::move(events_.front());
  events_.pop_front();
  queued_bytes_ -= BodyBytes(event);
  *resume = sender_waits_ && queued_bytes_ == 0;
  if (*resume) {
    sender_waits_ = false;
  }
  return event;
}

}  // namespace godwit::http
