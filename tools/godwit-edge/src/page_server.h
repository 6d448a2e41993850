#ifndef GODWIT_EDGE_PAGE_SERVER_H_
#define GODWIT_EDGE_PAGE_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/error.h"
#include "closed_connection_log.h"
#include "relay/caller_handler.h"
#include "relay/caller_server.h"

namespace godwit::edge {

// An HTTP listener that answers each request immediately with a page. Its
// limits are fixed: 16 connections, of which those that are not served give way
// to new ones, heads of 8 KiB and bodies of 4 KiB within 3 s, 4 MiB of unread
// pages.
class PageServer : public relay::CallerHandler {
 public:
  struct Page {
    int status = 200;
    std::string type = "text/plain";
    std::string body;
  };
  // Returns the page for a request target.
  using PageHandler = std::function<Page(const std::string& target)>;

  // `name` is that of its address in logs and metrics.
  PageServer(boost::asio::io_context& io,
             std::string name,
             PageHandler handler);

  // False if the address can't be used; see last_error().
  bool Listen(const base::Endpoint& address);
  const base::Error& last_error() const noexcept {
    return server_.last_error();
  }
  // Closes connections that exceeded a timeout, and reports those that were
  // closed at a limit. Call it every few tens of milliseconds.
  void Tick(base::Millis now, telemetry::Metrics& metrics);
  void Close() { server_.Close(); }

  void OnRequest(const std::shared_ptr<relay::CallerSession>& session,
                 relay::ReceivedRequest request) override;
  void OnCallerDisconnected(
      const std::shared_ptr<relay::CallerSession>& session) override;
  void OnCallerWritable(
      const std::shared_ptr<relay::CallerSession>& session) override;
  void OnRequestRefused(int status, const std::string& reason) override;

 private:
  PageHandler handler_;
  relay::CallerServer server_;
  ClosedConnectionLog closed_;
};

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_PAGE_SERVER_H_
