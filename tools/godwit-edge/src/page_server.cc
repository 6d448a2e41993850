#include "page_server.h"

#include <utility>

#include "relay/caller_session.h"
#include "relay/header_list.h"

namespace godwit::edge {

PageServer::PageServer(boost::asio::io_context& io, PageHandler handler)
    : handler_(std::move(handler)), server_(io, *this) {}

bool PageServer::Listen(const base::Endpoint& address) {
  return server_.Listen(address);
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
