#include "http/server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "http/exchange.h"
#include "runtime/runtime.h"
#include "session.h"
#include "session_context.h"
#include "tls_context.h"

namespace godwit::http {
namespace {

using boost::asio::ip::tcp;

// Delay after a failed accept, for instance when file descriptors run out.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

struct Server::State : std::enable_shared_from_this<State> {
  explicit State(runtime::Runtime& runtime)
      : context(std::make_shared<SessionContext>(runtime)),
        acceptor(runtime.io()),
        accept_retry_timer(runtime.io()) {}

  bool Listen(const std::string& ip, uint16_t port, base::Error* error) {
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(ip, ec);
    const tcp::endpoint endpoint(address, port);
    if (!ec) {
      acceptor.open(endpoint.protocol(), ec);
    }
    if (!ec) {
      acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
      acceptor.bind(endpoint, ec);
    }
    if (!ec) {
      acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      *error = {base::ErrorKind::kInvalidArgument,
                "can't listen on " + ip + ":" + std::to_string(port) + ": " +
                    ec.message(),
                "choose an IP number of this machine and a free port"};
      return false;
    }
    listening_port = acceptor.local_endpoint().port();
    return true;
  }

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](boost::system::error_code ec,
                                    tcp::socket socket) {
          if (self->context->stopping) {
            return;
          }
          if (ec) {
            self->RetryAccept();
            return;
          }
          socket.set_option(tcp::no_delay(true), ec);
          Session::Make(std::move(socket), self->context, self->tls)->Start();
          self->Accept();
        });
  }

  void RetryAccept() {
    context->MakePlace();
    accept_retry_timer.expires_after(kAcceptRetryDelay);
    accept_retry_timer.async_wait(
        [self = shared_from_this()](boost::system::error_code ec) {
          if (!ec && !self->context->stopping) {
            self->Accept();
          }
        });
  }

  void StopAccepting() {
    context->stopping = true;
    boost::system::error_code ec;
    acceptor.close(ec);
    accept_retry_timer.cancel();
    const auto sessions = context->sessions;
    for (const auto& [place, session] : sessions) {
      session->CloseIfIdle();
    }
  }

  void CloseAll() {
    StopAccepting();
    const auto sessions = context->sessions;
    for (const auto& [place, session] : sessions) {
      session->Close();
    }
  }

  std::shared_ptr<SessionContext> context;
  tcp::acceptor acceptor;
  boost::asio::steady_timer accept_retry_timer;
  uint16_t listening_port = 0;
  std::string certificate_file;
  std::string key_file;
  // I/O thread once listening.
  std::shared_ptr<TlsContext> tls;
};

Server::Builder& Server::Builder::Address(std::string ip, uint16_t port) {
  ip_ = std::move(ip);
  port_ = port;
  return *this;
}

Server::Builder& Server::Builder::MaxBodyBytes(size_t bytes) {
  max_body_bytes_ = bytes;
  return *this;
}

Server::Builder& Server::Builder::MaxHeaderBytes(size_t bytes) {
  max_header_bytes_ = bytes;
  return *this;
}

Server::Builder& Server::Builder::ReadTimeout(base::Millis span) {
  read_timeout_ = span;
  return *this;
}

Server::Builder& Server::Builder::WriteTimeout(base::Millis span) {
  write_timeout_ = span;
  return *this;
}

Server::Builder& Server::Builder::MaxConnections(size_t count) {
  max_connections_ = count;
  return *this;
}

Server::Builder& Server::Builder::HeldBodyBytes(size_t bytes) {
  held_body_bytes_ = bytes;
  return *this;
}

Server::Builder& Server::Builder::Tls(std::string certificate_file,
                                      std::string key_file) {
  certificate_file_ = std::move(certificate_file);
  key_file_ = std::move(key_file);
  return *this;
}

Server::Builder& Server::Builder::Handle(Handler handler) {
  handler_ = std::move(handler);
  return *this;
}

std::unique_ptr<Server> Server::Builder::Build(runtime::Runtime& runtime) {
  auto state = std::make_shared<State>(runtime);
  SessionContext& context = *state->context;
  context.max_body_bytes = max_body_bytes_;
  context.max_header_bytes = max_header_bytes_;
  context.read_timeout = read_timeout_;
  context.write_timeout = write_timeout_;
  context.max_connections = max_connections_;
  context.bodies.SetCapacity(std::max(held_body_bytes_, max_body_bytes_ * 2));
  context.handler = handler_;
  state->certificate_file = certificate_file_;
  state->key_file = key_file_;
  if (!certificate_file_.empty()) {
    state->tls = TlsContext::Load(certificate_file_, key_file_, &error_);
    if (!state->tls) {
      return nullptr;
    }
  }
  if (!state->Listen(ip_, port_, &error_)) {
    return nullptr;
  }
  boost::asio::post(runtime.io(), [state] { state->Accept(); });
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::shared_ptr<State> state) : state_(std::move(state)) {}

Server::~Server() {
  state_->context->handler = nullptr;
  boost::asio::post(state_->context->runtime.io(),
                    [state = state_] { state->CloseAll(); });
}

uint16_t Server::port() const noexcept {
  return state_->listening_port;
}

size_t Server::unanswered() const noexcept {
  return state_->context->unanswered;
}

void Server::StopAccepting() {
  boost::asio::post(state_->context->runtime.io(),
                    [state = state_] { state->StopAccepting(); });
}

bool Server::ReloadTls(base::Error* error) {
  auto tls =
      TlsContext::Load(state_->certificate_file, state_->key_file, error);
  if (!tls) {
    return false;
  }
  boost::asio::post(state_->context->runtime.io(),
                    [state = state_, tls] { state->tls = tls; });
  return true;
}

}  // namespace godwit::http
