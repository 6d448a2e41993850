#include "http_frontend.h"

#include <utility>

#include "error_page.h"
#include "http/exchange.h"
#include "http/request.h"
#include "http/response.h"
#include "router/request_parser.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"

namespace godwit::router_daemon {
namespace {

http::Response Page(int status, std::string type, std::string body) {
  http::Response response;
  response.status = status;
  response.headers["content-type"] = std::move(type);
  response.body = std::move(body);
  return response;
}

}  // namespace

HttpFrontend::HttpFrontend(Handler handler) : handler_(std::move(handler)) {}

void HttpFrontend::OnExchange(const std::shared_ptr<http::Exchange>& exchange) {
  if (!ServeOperatorPage(*exchange)) {
    Serve(exchange);
  }
}

bool HttpFrontend::ServeOperatorPage(http::Exchange& exchange) {
  const std::string& target = exchange.request().target;
  if (target == "/healthz") {
    exchange.Respond(Page(200, "text/plain", "ok\n"));
    return true;
  }
  if (target == "/readyz") {
    const bool ready = handler_.ready();
    exchange.Respond(Page(ready ? 200 : 503, "text/plain",
                          ready ? "ready\n" : "not ready\n"));
    return true;
  }
  if (target == "/metrics") {
    exchange.Respond(
        Page(200, "text/plain; version=0.0.4", handler_.metrics()));
    return true;
  }
  if (target == "/status") {
    exchange.Respond(Page(200, "application/json", handler_.status()));
    return true;
  }
  return false;
}

void HttpFrontend::Serve(const std::shared_ptr<http::Exchange>& exchange) {
  const config::Config* config = handler_.config();
  if (config == nullptr) {
    exchange->Respond(ErrorPage(
        {base::ErrorKind::kUnavailable, "this router has no configuration yet",
         "send the request again", true, base::Seconds(1)}));
    return;
  }
  router::RequestParser parser;
  auto request = parser.Parse(*config, exchange->request());
  if (!request) {
    const base::Error& parse_error = parser.last_error();
    telemetry::Log(telemetry::EventId::kRequestMalformed,
                   {{"kind", base::ErrorKindName(parse_error.kind())},
                    {"reason", parse_error.message()}});
    exchange->Respond(ErrorPage({parse_error.kind(), parse_error.message(),
                                 parse_error.remedy(), true, base::Millis()}));
    return;
  }
  const router::ExchangeId id = next_exchange_++;
  request->exchange = id;
  exchanges_[id] = exchange;
  exchange->OnCallerDisconnected([this, id] {
    exchanges_.erase(id);
    handler_.on_event(router::CallerDisconnected{id});
  });
  exchange->OnDrained([this, id](size_t bytes) {
    handler_.on_event(
        router::AnswerBytesConsumed{id, static_cast<int64_t>(bytes)});
  });
  handler_.on_event(router::RequestReceived{std::move(*request)});
}

void HttpFrontend::Execute(const router::CompleteAnswer& command) {
  if (const auto exchange = Release(command.exchange)) {
    exchange->Respond(Page(command.status, command.content_type, command.body));
  }
}

void HttpFrontend::Execute(const router::AnswerHead& command) {
  if (auto* exchange = Find(command.exchange)) {
    exchange->BeginStream(command.status,
                          {{"content-type", command.content_type},
                           {"cache-control", "no-store"}});
  }
}

void HttpFrontend::Execute(const router::AnswerBytes& command) {
  if (auto* exchange = Find(command.exchange)) {
    exchange->Write(command.bytes);
  }
}

void HttpFrontend::Execute(const router::AnswerEnd& command) {
  if (const auto exchange = Release(command.exchange)) {
    exchange->EndStream();
  }
}

void HttpFrontend::Execute(const router::AnswerAbort& command) {
  if (const auto exchange = Release(command.exchange)) {
    exchange->Abort();
  }
}

void HttpFrontend::Execute(const router::AnswerError& command) {
  if (const auto exchange = Release(command.exchange)) {
    exchange->Respond(ErrorPage(command.error));
  }
}

http::Exchange* HttpFrontend::Find(router::ExchangeId id) {
  const auto position = exchanges_.find(id);
  return position == exchanges_.end() ? nullptr : position->second.get();
}

std::shared_ptr<http::Exchange> HttpFrontend::Release(router::ExchangeId id) {
  const auto position = exchanges_.find(id);
  if (position == exchanges_.end()) {
    return nullptr;
  }
  auto exchange = std::move(position->second);
  exchanges_.erase(position);
  return exchange;
}

}  // namespace godwit::router_daemon
