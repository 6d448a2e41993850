#ifndef RELAY_CALLER_IO_H_
#define RELAY_CALLER_IO_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "relay/caller_server.h"
#include "relay/caller_session.h"
#include "relay/request_reader.h"
#include "slow_peer_guard.h"

namespace godwit::relay {

// Socket and buffers of a CallerSession.
struct CallerSession::Io {
  // Large enough to receive a typical prompt in two reads.
  static constexpr size_t kReadBytes = 16 * 1024;

  Io(boost::asio::ip::tcp::socket connection, RequestReader::Limits limits)
      : socket(std::move(connection)),
        guard(CallerServer::kAckTimeout),
        reader(limits) {}

  boost::asio::ip::tcp::socket socket;
  SlowPeerGuard guard;
  RequestReader reader;
  std::array<char, kReadBytes> buffer;
  std::string inbox;
  std::string outbox;
  size_t sent = 0;
  // Of the request that is being received; zero before its body.
  int64_t body_id = 0;
  // When its body found room.
  base::Millis body_since;
  // Since when its body finds no room, and is not read.
  std::optional<base::Millis> no_room_since;
};

}  // namespace godwit::relay

#endif  // RELAY_CALLER_IO_H_
