// Memory of the body of the request that a session receives.
#include <memory>
#include <string>
#include <utility>

#include "base/clocks.h"
#include "caller_io.h"
#include "guard/body_memory.h"
#include "relay/caller_server.h"
#include "relay/caller_session.h"

namespace godwit::relay {
namespace {

constexpr int kUnavailableStatus = 503;
// Steps in which memory is reserved for a body whose length is not stated.
constexpr size_t kBodyStep = size_t{64} * 1024;
// While a body waits for room, others that arrive more slowly than this, after
// the first half second, give way.
constexpr base::Millis kSlowBodyTime(500);
constexpr int64_t kSlowBodyBytesPerSecond = int64_t{64} * 1024;
constexpr int64_t kMillisPerSecond = 1000;
constexpr int kRequestTimeoutStatus = 408;
// A head above the first size takes about this many times the rest of it once
// it is decoded: it may list thousands of parts of a prompt.
constexpr size_t kUsualHeadBytes = size_t{2} * 1024;
constexpr size_t kDecodedHeadFactor = 24;
// Longest time for which a body waits for room: callers may give up one that is
// not read for longer.
constexpr base::Millis kMaxRoomWait(1000);
// Time after which bodies that arrive slowly give way to one that waits.
constexpr base::Millis kRoomPatience(500);

// Memory that a decoded head takes beyond the usual.
size_t DecodedBytes(const RequestHead& head) {
  const size_t bytes = head.target.size() + head.headers.bytes();
  return bytes <= kUsualHeadBytes
             ? 0
             : (bytes - kUsualHeadBytes) * kDecodedHeadFactor;
}

}  // namespace

bool CallerSession::ReserveRequest() {
  const size_t decoded = DecodedBytes(io_->reader.head());
  if (decoded == 0) {
    return true;
  }
  if (io_->body_id == 0) {
    io_->body_id = server_.body_memory_->Begin();
  }
  return server_.body_memory_->Reserve(io_->body_id,
                                       io_->reader.body_bytes() + decoded);
}

bool CallerSession::ReserveBody() {
  if (io_->body_id == 0) {
    io_->body_id = server_.body_memory_->Begin();
    io_->body_since = base::SteadyNow();
  }
  const size_t bytes = io_->reader.stated_body_bytes().value_or(
      (io_->reader.body_bytes() / kBodyStep + 1) * kBodyStep);
  return server_.body_memory_->Reserve(
      io_->body_id, bytes + DecodedBytes(io_->reader.head()));
}

void CallerSession::ReleaseBody() {
  server_.body_memory_->Release(std::exchange(io_->body_id, 0));
  io_->no_room_since.reset();
}

void CallerSession::AwaitRoom(base::Millis now) {
  if (ReserveBody()) {
    io_->no_room_since.reset();
    io_->body_since = now;
    Read();
  } else if (now - *io_->no_room_since > kMaxRoomWait) {
    receiving_request_ = false;
    ReleaseBody();
    RefuseForMemory();
    Read();
  } else if (now - *io_->no_room_since > kRoomPatience) {
    server_.RefuseSlowestBody(now);
  }
}

bool CallerSession::IsBodySlow(base::Millis now) const {
  const base::Millis elapsed = now - io_->body_since;
  return receiving_request_ && io_->body_id != 0 && !io_->no_room_since &&
         elapsed >= kSlowBodyTime &&
         static_cast<int64_t>(io_->reader.body_bytes()) * kMillisPerSecond <
             kSlowBodyBytesPerSecond * elapsed.count();
}

void CallerSession::RefuseSlowBody() {
  receiving_request_ = false;
  ReleaseBody();
  Refuse(kRequestTimeoutStatus,
         "the body arrived too slowly while others waited for memory");
}

void CallerSession::RefuseForMemory() {
  Refuse(kUnavailableStatus, "no memory for the body of the request");
}

// The memory of a request is released with the last owner of its body.
std::shared_ptr<const std::string> CallerSession::TakeBody() {
  const size_t decoded = DecodedBytes(io_->reader.head());
  auto body = std::make_unique<const std::string>(io_->reader.TakeBody());
  if (body->empty() && decoded == 0) {
    ReleaseBody();
    return body;
  }
  const auto memory = server_.body_memory_;
  const int64_t id =
      io_->body_id == 0 ? memory->Begin() : std::exchange(io_->body_id, 0);
  memory->Complete(id, body->size() + decoded);
  return {body.release(), [memory, id](const std::string* owned) {
            memory->Release(id);
            delete owned;
          }};
}

}  // namespace godwit::relay
