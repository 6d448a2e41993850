#include "relay/caller_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "base/clocks.h"
#include "caller_io.h"
#include "guard/body_memory.h"
#include "relay/caller_handler.h"
#include "relay/caller_session.h"
#include "socket_options.h"

namespace godwit::relay {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Backlog of connections waiting to be accepted. The kernel drops connections
// above it, and their callers retry only after a second.
constexpr int kBacklog = 4096;
// Time in which requests are read that callers had sent before the server
// closed.
constexpr base::Millis kCloseDelay(50);
// Time until the next attempt to accept a connection after one that failed.
constexpr std::chrono::milliseconds kAcceptRetryDelay(100);
// Connections with bytes that are not read yet are passed over when one is to
// give way, up to this many.
constexpr int kMaxPassedOver = 8;
// Bounds of a connection's share of the memory for buffers.
constexpr size_t kMinBufferShare = size_t{16} * 1024;
constexpr size_t kMaxBufferShare = size_t{256} * 1024;

}  // namespace

struct CallerServer::Acceptor {
  explicit Acceptor(asio::io_context& io)
      : acceptor(io), accepted(io), retry_timer(io) {}
  asio::ip::tcp::acceptor acceptor;
  // The connection that was accepted last, until it has a session.
  asio::ip::tcp::socket accepted;
  asio::steady_timer retry_timer;
};

CallerServer::CallerServer(asio::io_context& io, CallerHandler& handler)
    : io_(io),
      handler_(handler),
      body_memory_(std::make_shared<guard::BodyMemory>(0)) {
  SetLimits(limits_);
}

CallerServer::~CallerServer() {
  for (const auto& [id, session] : std::exchange(sessions_, {})) {
    session->Close();
  }
}

void CallerServer::SetLimits(const Limits& limits) {
  limits_ = limits;
  body_memory_->SetCapacity(
      std::max(limits.held_body_bytes, limits.body_bytes * 2));
}

bool CallerServer::Listen(const base::Endpoint& address) {
  acceptor_ = std::make_shared<Acceptor>(io_);
  asio::ip::tcp::acceptor& acceptor = acceptor_->acceptor;
  error_code error;
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(address.ip, error), address.port);
  const auto fails = [&](const char* step) {
    if (error) {
      error_ = base::Error(base::ErrorKind::kUnavailable,
                           std::string("can't ") + step + " " +
                               address.ToText() + ": " + error.message(),
                           "free the address or set another one");
      acceptor_.reset();
    }
    return static_cast<bool>(error);
  };
  if (fails("read")) {
    return false;
  }
  acceptor.open(endpoint.protocol(), error);
  if (fails("open")) {
    return false;
  }
  acceptor.set_option(asio::socket_base::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (fails("bind")) {
    return false;
  }
  acceptor.listen(kBacklog, error);
  if (fails("listen on")) {
    return false;
  }
  Accept();
  return true;
}

void CallerServer::Accept() {
  acceptor_->acceptor.async_accept(
      acceptor_->accepted, [this, keep = acceptor_](const error_code& error) {
        if (acceptor_ == nullptr) {
          return;
        }
        if (error) {
          RetryAccept();
          return;
        }
        AddSession();
        Accept();
      });
}

void CallerServer::RetryAccept() {
  ++closed_.not_accepted;
  MakePlace();
  acceptor_->retry_timer.expires_after(kAcceptRetryDelay);
  acceptor_->retry_timer.async_wait(
      [this, keep = acceptor_](const error_code& error) {
        if (acceptor_ != nullptr && !error) {
          Accept();
        }
      });
}

void CallerServer::AddSession() {
  asio::ip::tcp::socket socket = std::move(acceptor_->accepted);
  if (sessions_.size() >= limits_.connections && !MakePlace()) {
    ++closed_.refused;
    return;
  }
  error_code ignored;
  socket.non_blocking(true, ignored);
  SetSocketOptions(socket, kAckTimeout);
  const RequestReader::Limits limits{limits_.header_bytes, limits_.body_bytes};
  auto session = std::make_shared<CallerSession>(
      *this, std::make_unique<CallerSession::Io>(std::move(socket), limits));
  session->place_ = places_.Add();
  sessions_[session->place_] = session;
  session->Start();
}

bool CallerServer::MakePlace() {
  for (int passed_over = 0;; ++passed_over) {
    const auto place = places_.ToClose();
    if (!place) {
      return false;
    }
    const auto session = sessions_[*place];
    if (passed_over < kMaxPassedOver && session->HasUnreadBytes()) {
      places_.Renew(*place);
      continue;
    }
    ++closed_.replaced;
    session->OnDisconnected();
    return true;
  }
}

void CallerServer::AcceptWaiting() {
  if (acceptor_ == nullptr) {
    return;
  }
  error_code error;
  acceptor_->acceptor.non_blocking(true, error);
  while (!error) {
    acceptor_->acceptor.accept(acceptor_->accepted, error);
    if (!error) {
      AddSession();
    }
  }
}

void CallerServer::Remove(const std::shared_ptr<CallerSession>& session) {
  sessions_.erase(session->place_);
  places_.Remove(session->place_);
}

size_t CallerServer::buffer_share() const noexcept {
  const size_t share =
      limits_.held_buffer_bytes / 2 / std::max<size_t>(1, sessions_.size());
  return std::clamp(share, kMinBufferShare, kMaxBufferShare);
}

void CallerServer::OnBuffersChanged(size_t before, size_t now) {
  held_bytes_ += now - before;
}

void CallerServer::CloseLargestHolders() {
  while (held_bytes_ > limits_.held_buffer_bytes && !sessions_.empty()) {
    const auto largest = *std::max_element(
        sessions_.begin(), sessions_.end(), [](const auto& a, const auto& b) {
          return a.second->held_bytes() < b.second->held_bytes();
        });
    ++closed_.buffers;
    const auto session = largest.second;
    session->OnDisconnected();
  }
}

void CallerServer::RefuseSlowestBody(base::Millis now) {
  std::shared_ptr<CallerSession> slowest;
  for (const auto& [id, session] : sessions_) {
    if (session->IsBodySlow(now) &&
        (slowest == nullptr ||
         session->phase_started_at_ < slowest->phase_started_at_)) {
      slowest = session;
    }
  }
  if (slowest != nullptr) {
    ++closed_.slow_bodies;
    slowest->RefuseSlowBody();
  }
}

bool CallerServer::TakeClose() noexcept {
  if (draining_) {
    return true;
  }
  if (to_close_ == 0) {
    return false;
  }
  --to_close_;
  return true;
}

void CallerServer::Close() {
  draining_ = true;
  AcceptWaiting();
  acceptor_.reset();
  closing_since_ = base::SteadyNow();
}

void CallerServer::Tick() {
  CloseLargestHolders();
  const base::Millis now = base::SteadyNow();
  std::vector<std::shared_ptr<CallerSession>> sessions;
  sessions.reserve(sessions_.size());
  for (const auto& [id, session] : sessions_) {
    sessions.push_back(session);
  }
  const bool closes_idle =
      closing_since_ && now - *closing_since_ >= kCloseDelay;
  for (const auto& session : sessions) {
    session->Tick(now);
    if (closes_idle) {
      session->CloseIfIdle();
    }
  }
}

size_t CallerServer::unanswered() const noexcept {
  size_t count = 0;
  for (const auto& [id, session] : sessions_) {
    if (session->is_busy()) {
      ++count;
    }
  }
  return count;
}

}  // namespace godwit::relay
