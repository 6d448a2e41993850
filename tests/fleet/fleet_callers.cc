#include <optional>
#include <string>
#include <utility>

#include "fleet_simulation.h"

namespace godwit::fleet {

void FleetSimulation::Send(size_t router, RequestKind kind) {
  const std::optional<size_t> ready = FindReady(router);
  if (requests_.size() >= kMaxRequests || !ready) {
    return;
  }
  Request request;
  request.body = std::to_string(requests_.size());
  request.kind = kind;
  requests_.push_back(std::move(request));
  Arrive(*ready, requests_.size() - 1);
}

std::optional<size_t> FleetSimulation::FindReady(size_t first) const {
  for (size_t tries = 0; tries < routers_.size(); ++tries) {
    const size_t index = (first + tries) % routers_.size();
    const RouterProcess& process = routers_[index];
    if (!process.terminated && !process.draining && process.core->ready()) {
      return index;
    }
  }
  return std::nullopt;
}

void FleetSimulation::Retry(size_t router, size_t request) {
  if (requests_.empty()) {
    return;
  }
  const size_t index = request % requests_.size();
  if (requests_[index].kind.keyed && !requests_[index].answered) {
    Arrive(router % routers_.size(), index);
  }
}

void FleetSimulation::DisconnectCaller(size_t request) {
  if (requests_.empty()) {
    return;
  }
  const size_t index = request % requests_.size();
  for (const router::ExchangeId exchange : requests_[index].open) {
    const Caller& caller = callers_.at(exchange);
    routers_[caller.router].inbox.emplace_back(
        router::CallerDisconnected{exchange});
    callers_.erase(exchange);
  }
  requests_[index].open.clear();
}

void FleetSimulation::Arrive(size_t router, size_t index) {
  if (routers_[router].terminated) {
    return;
  }
  Request& request = requests_[index];
  request.last_not_run = false;
  router::CallerRequest arrival;
  arrival.exchange = next_exchange_++;
  arrival.organisation = base::OrganisationId("keelung");
  arrival.service = base::ServiceId("kiosk");
  arrival.idempotency_key = request.kind.keyed ? "key-" + request.body : "";
  arrival.repeatable = request.kind.repeatable;
  arrival.stream = request.kind.stream;
  arrival.method = "POST";
  arrival.path = "/v1/chat/completions";
  arrival.content_type = "application/json";
  arrival.body = request.body;
  arrival.prompt_tokens_bound = BackendModel::BillOf(request.body);
  request.open.insert(arrival.exchange);
  callers_[arrival.exchange] = Caller{index, router, ""};
  routers_[router].inbox.emplace_back(
      router::RequestReceived{std::move(arrival)});
}

FleetSimulation::Caller* FleetSimulation::FindCaller(
    router::ExchangeId exchange) {
  const auto position = callers_.find(exchange);
  return position == callers_.end() ? nullptr : &position->second;
}

void FleetSimulation::HandleRouterCommand(
    size_t,
    const router::CompleteAnswer& command) {
  OnAnswer(command.exchange, command.body);
}

void FleetSimulation::HandleRouterCommand(size_t, const router::AnswerHead&) {}

void FleetSimulation::HandleRouterCommand(size_t,
                                          const router::AnswerBytes& command) {
  if (Caller* caller = FindCaller(command.exchange)) {
    caller->bytes += command.bytes;
    routers_[caller->router].inbox.emplace_back(router::AnswerBytesConsumed{
        command.exchange, static_cast<int64_t>(command.bytes.size())});
  }
}

void FleetSimulation::HandleRouterCommand(size_t,
                                          const router::AnswerEnd& command) {
  if (const Caller* caller = FindCaller(command.exchange)) {
    OnAnswer(command.exchange, caller->bytes);
  }
}

void FleetSimulation::HandleRouterCommand(size_t,
                                          const router::AnswerAbort& command) {
  OnError(command.exchange, router::CallerError());
}

void FleetSimulation::HandleRouterCommand(size_t,
                                          const router::AnswerError& command) {
  OnError(command.exchange, command.error);
}

void FleetSimulation::OnAnswer(router::ExchangeId exchange,
                               const std::string& answer) {
  const Caller* caller = FindCaller(exchange);
  if (caller == nullptr) {
    return;
  }
  Request& request = requests_[caller->request];
  if (answer != BackendModel::AnswerTo(request.body)) {
    RecordViolation("request " + request.body +
                    " got a wrong or partial answer");
  }
  request.answered = true;
  request.open.erase(exchange);
  callers_.erase(exchange);
}

void FleetSimulation::OnError(router::ExchangeId exchange,
                              const router::CallerError& error) {
  const Caller* caller = FindCaller(exchange);
  if (caller == nullptr) {
    return;
  }
  Request& request = requests_[caller->request];
  ++refusals_;
  if (!error.not_run && interrupted_.empty()) {
    interrupted_ = "request " + request.body + " at " +
                   std::to_string(now_.count()) + " ms: " + error.message;
  }
  const bool ran = backend_.executions(request.body) > 0;
  if (error.not_run && ran) {
    RecordViolation("request " + request.body +
                    " ran, but its caller was told \"" + error.message + "\"");
  }
  request.open.erase(exchange);
  request.last_not_run = error.not_run && request.open.empty();
  callers_.erase(exchange);
}

}  // namespace godwit::fleet
