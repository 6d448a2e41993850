#include "page_server.h"

#include <utility>

#include "relay/caller_session.h"
#include "relay/header_list.h"

namespace godwit::edge {
namespace {

constexpr size_t kMaxHeaderBytes = size_t{8} * 1024;
constexpr size_t kMaxBodyBytes = size_t{4} * 1024;
constexpr size_t kHeldBodyBytes = size_t{64} * 1024;
constexpr size_t kHeldBufferBytes = size_t{4} * 1024 * 1024;
constexpr base::Millis kRequestTimeout(3000);
constexpr base::Millis kUnreadTimeout(10'000);
// A load balancer asks once a second, collectors of metrics less often.
constexpr size_t kMaxConnections = 16;

}  // namespace

PageServer::PageServer(boost::asio::io_context& io,
                       std::string name,
                       PageHandler handler)
    : handler_(std::move(handler)),
      server_(io, *this),
      closed_(std::move(name)) {
  relay::CallerServer::Limits limits;
  limits.header_bytes = kMaxHeaderBytes;
  limits.body_bytes = kMaxBodyBytes;
  limits.held_body_bytes = kHeldBodyBytes;
  limits.held_buffer_bytes = kHeldBufferBytes;
  limits.request_timeout = kRequestTimeout;
  limits.unread_timeout = kUnreadTimeout;
  limits.connections = kMaxConnections;
  server_.SetLimits(limits);
}

bool PageServer::Listen(const base::Endpoint& address) {
  return server_.Listen(address);
}

void PageServer::Tick(base::Millis now, telemetry::Metrics& metrics) {
  server_.Tick();
  closed_.Report(now, server_.closed_at_limits(), metrics);
}

void PageServer::OnRequest(const std::shared_ptr<relay::CallerSession>& session,
                           relay::ReceivedRequest request) {
  const Page page = handler_(request.head.target);
  std::string lines;
  relay::AppendHeader(lines, "Content-Type", page.type);
  session->Respond(page.status, lines, page.body);
}

void PageServer::OnCallerDisconnected(
    const std::shared_ptr<relay::CallerSession>& /*session*/) {}

void PageServer::OnCallerWritable(
    const std::shared_ptr<relay::CallerSession>& /*session*/) {}

void PageServer::OnRequestRefused(int /*status*/,
                                  const std::string& /*reason*/) {}

}  // namespace godwit::edge
