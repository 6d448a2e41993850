#include "call_event_queue.h"

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

bool CallEventQueue::Push(CallEvent event) {
  bool wait = false;
  {
    const std::lock_guard<boost::fibers::mutex> lock(mutex_);
    queued_bytes_ += BodyBytes(event);
    events_.push_back(std::move(event));
    sender_paused_ = queued_bytes_ > kMaxQueuedBytes;
    wait = sender_paused_;
  }
  not_empty_.notify_one();
  return wait;
}

CallEvent CallEventQueue::Pop(bool* resume) {
  std::unique_lock<boost::fibers::mutex> lock(mutex_);
  not_empty_.wait(lock, [this] { return !events_.empty(); });
  CallEvent event = std::move(events_.front());
  events_.pop_front();
  queued_bytes_ -= BodyBytes(event);
  *resume = sender_paused_ && queued_bytes_ == 0;
  if (*resume) {
    sender_paused_ = false;
  }
  return event;
}

}  // namespace godwit::http
