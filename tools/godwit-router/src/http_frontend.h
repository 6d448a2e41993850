#ifndef GODWIT_ROUTER_HTTP_FRONTEND_H_
#define GODWIT_ROUTER_HTTP_FRONTEND_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "router/answer_abort.h"
#include "router/answer_bytes.h"
#include "router/answer_end.h"
#include "router/answer_error.h"
#include "router/answer_head.h"
#include "router/complete_answer.h"
#include "router/exchange_id.h"
#include "router/router_event.h"

namespace godwit::config {
struct Config;
}

namespace godwit::http {
class Exchange;
}

namespace godwit::router_daemon {

// Connects callers' HTTP exchanges to the router core: turns requests into
// events and answer commands into HTTP responses. Core thread only.
class HttpFrontend {
 public:
  struct Handler {
    std::function<void(const router::RouterEvent&)> on_event;
    // Configuration in force; null if there is none yet.
    std::function<const config::Config*()> config;
    std::function<bool()> ready;
    // Bodies of the operator pages.
    std::function<std::string()> metrics;
    std::function<std::string()> status;
  };

  explicit HttpFrontend(Handler handler);

  // Handles a request from the HTTP server.
  void OnExchange(const std::shared_ptr<http::Exchange>& exchange);

  void Execute(const router::CompleteAnswer& command);
  void Execute(const router::AnswerHead& command);
  void Execute(const router::AnswerBytes& command);
  void Execute(const router::AnswerEnd& command);
  void Execute(const router::AnswerAbort& command);
  void Execute(const router::AnswerError& command);

 private:
  bool ServeOperatorPage(http::Exchange& exchange);
  void Serve(const std::shared_ptr<http::Exchange>& exchange);
  http::Exchange* Find(router::ExchangeId id);
  // Removes and returns the exchange; null if the caller has disconnected.
  std::shared_ptr<http::Exchange> Release(router::ExchangeId id);

  const Handler handler_;
  router::ExchangeId next_exchange_ = 1;
  std::unordered_map<router::ExchangeId, std::shared_ptr<http::Exchange>>
      exchanges_;
};

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_HTTP_FRONTEND_H_
