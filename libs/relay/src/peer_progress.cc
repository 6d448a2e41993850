#include "peer_progress.h"

// Not <netinet/tcp.h>, whose tcp_info lacks the unsent bytes.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace godwit::relay {
namespace {

// The kernel repeats a probe after a growing interval, so that one may be under
// way at any time.
constexpr uint32_t kLostProbes = 2;

}  // namespace

std::optional<PeerProgress> ProgressOf(int socket) {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  constexpr size_t needed =
      offsetof(tcp_info, tcpi_notsent_bytes) + sizeof(info.tcpi_notsent_bytes);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < needed) {
    return std::nullopt;
  }
  return PeerProgress{info.tcpi_unacked > 0 || info.tcpi_notsent_bytes > 0,
                      info.tcpi_unacked, info.tcpi_probes,
                      base::Millis(info.tcpi_last_ack_recv),
                      info.tcpi_bytes_acked};
}

bool HasNoRoom(const PeerProgress& progress) {
  return progress.has_unacknowledged && progress.in_flight == 0;
}

bool IsGone(const PeerProgress& progress, base::Millis timeout) {
  return HasNoRoom(progress) && progress.unanswered_probes >= kLostProbes &&
         progress.since_acknowledgement >= timeout;
}

}  // namespace godwit::relay
