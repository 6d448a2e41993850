#include "slow_peer_guard.h"

#include <algorithm>

#include "peer_progress.h"
#include "socket_options.h"

namespace godwit::relay {
namespace {

constexpr base::Millis kMaxCheckInterval(1000);
// Checks within an acknowledgement timeout.
constexpr int64_t kChecksPerTimeout = 3;

}  // namespace

SlowPeerGuard::SlowPeerGuard(base::Millis ack_timeout)
    : ack_timeout_(ack_timeout),
      check_interval_(
          std::min(kMaxCheckInterval,
                   base::Millis(ack_timeout.count() / kChecksPerTimeout))) {}

void SlowPeerGuard::OnSent(base::Millis now) {
  progressed_at_ = now;
  if (!check_at_) {
    check_at_ = now + check_interval_;
  }
}

bool SlowPeerGuard::IsPeerGone(base::Millis now,
                               boost::asio::ip::tcp::socket& socket) {
  if (!check_at_ || now < *check_at_) {
    return false;
  }
  check_at_ = now + check_interval_;
  const auto progress = ProgressOf(socket.native_handle());
  if (progress && progress->acknowledged_bytes != acknowledged_bytes_) {
    acknowledged_bytes_ = progress->acknowledged_bytes;
    progressed_at_ = now;
  }
  const bool has_no_room = progress && HasNoRoom(*progress);
  if (has_no_room != has_no_room_) {
    has_no_room_ = has_no_room;
    SetAckTimeout(socket, has_no_room ? base::Millis(0) : ack_timeout_);
  }
  if (!progress || !progress->has_unacknowledged) {
    check_at_.reset();
  }
  return has_no_room && IsGone(*progress, ack_timeout_);
}

}  // namespace godwit::relay
