#include "dispatch_simulation.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace godwit::dispatch {
namespace {

constexpr base::Millis kStep(5);
constexpr base::Millis kChatObjective(400);
constexpr base::Millis kSummaryObjective(600);
constexpr base::Millis kGapObjective(300);
constexpr base::Millis kPlainObjective(300);

Route RouteOf(const std::string& name,
              const std::string& service,
              RepeatRule repeat) {
  Route route;
  route.name = name;
  route.host = "h";
  route.prefix = "/" + name + "/";
  route.repeat = repeat;
  route.targets = {{base::ServiceId(service), 1}};
  return route;
}

std::vector<Route> Routes() {
  Route chat = RouteOf("chat", "model", RepeatRule::kAtMostOnce);
  chat.is_stream = true;
  chat.timeout = base::Millis(15000);
  chat.latency_objective = kChatObjective;
  chat.event_gap_objective = kGapObjective;
  Route summary = RouteOf("summary", "model", RepeatRule::kResumable);
  summary.is_stream = true;
  summary.timeout = base::Millis(6000);
  summary.latency_objective = kSummaryObjective;
  summary.event_gap_objective = kGapObjective;
  summary.priority = 1;
  summary.max_attempts = 2;
  Route order = RouteOf("order", "plain", RepeatRule::kAtMostOnce);
  order.timeout = base::Millis(800);
  order.latency_objective = kPlainObjective;
  order.priority = 2;
  Route status = order;
  status.name = "status";
  status.prefix = "/status/";
  status.repeat = RepeatRule::kIdempotent;
  status.max_attempts = 2;
  return {chat, summary, order, status};
}

DispatcherOptions OptionsOf(const DispatchSimulation::Options& options) {
  DispatcherOptions made;
  made.process = base::ProcessId("router-1");
  made.incarnation = base::Incarnation("router-1.1");
  made.placement = options.placement;
  made.placement.data_centre = base::DataCentreId("a");
  made.retry_slack = 50;
  made.retry_window = options.retry_window;
  made.assumed_routers = 1;
  made.configuration_key = "configuration";
  return made;
}

}  // namespace

struct DispatchSimulation::Running {
  CallId call = 0;
  size_t server = 0;
  bool is_stream = false;
  bool answer_started = false;
};

DispatchSimulation::DispatchSimulation(
    const Options& options,
    std::vector<ModelServer::Options> servers)
    : random_(options.seed), dispatcher_(OptionsOf(options)) {
  BackendsListed listed;
  for (size_t i = 0; i < servers.size(); ++i) {
    const std::string instance = "s" + std::to_string(i);
    servers_.push_back(std::make_unique<ModelServer>(
        instance, static_cast<uint16_t>(i + 1), servers[i]));
    by_instance_[instance] = i;
    listed.backends.push_back(servers_[i]->Registration());
  }
  RoutingTable::Contents contents;
  contents.version = 1;
  contents.revision = platform::KvVersion(1);
  contents.routes = Routes();
  contents.organisations = options.organisations;
  contents.requires_api_key = options.requires_api_key;
  ServiceProfile service;
  service.id = base::ServiceId("model");
  service.engine = EngineProfile{16, options.kv_capacity, 4};
  contents.services = {service};
  Raise(RoutingTableUpdated{
      std::make_shared<const RoutingTable>(std::move(contents))});
  Raise(listed);
  Raise(RoutersListed{
      {{base::ProcessId("router-1"), base::Incarnation("router-1.1"),
        base::Endpoint{"127.0.0.1", 1}, 1000}}});
}

DispatchSimulation::~DispatchSimulation() = default;

void DispatchSimulation::Raise(const DispatchEvent& event) {
  for (const DispatchCommand& command : dispatcher_.Step(now_, event)) {
    std::visit([this](const auto& c) { Handle(c); }, command);
  }
}

CallId DispatchSimulation::Arrive(const std::string& route,
                                  base::Tokens shared,
                                  base::Tokens own,
                                  uint64_t session,
                                  int64_t events) {
  const CallId call = next_call_++;
  CallArrived arrived;
  arrived.call = call;
  arrived.request.id = "call-" + std::to_string(call);
  arrived.request.host = "h";
  arrived.request.path = "/" + route + "/x";
  arrived.request.api_key = api_key_;
  if (own > 0) {
    Prompt prompt;
    prompt.input_tokens = shared + own;
    prompt.max_output_tokens = events * 4;
    prompt.parts = {{session, shared},
                    {uint64_t{1} << 40 | static_cast<uint64_t>(call), own}};
    arrived.request.prompt = prompt;
    prompts_[call] = prompt;
  }
  requested_events_[call] = events;
  Outcome& outcome = outcomes_[call];
  outcome.route = route;
  outcome.arrived_at = now_;
  Raise(arrived);
  return call;
}

void DispatchSimulation::Disconnect(CallId call) {
  Raise(CallerDisconnected{call});
}

void DispatchSimulation::Advance(base::Millis span) {
  const base::Millis end = now_ + span;
  while (now_ < end) {
    now_ = now_ + kStep;
    for (auto& server : servers_) {
      for (const ModelServer::Event& event : server->Advance(now_, kStep)) {
        HandleServerEvent(event);
      }
    }
    Raise(Tick());
  }
}

void DispatchSimulation::HandleServerEvent(const ModelServer::Event& event) {
  const auto found = running_.find(event.attempt);
  if (found == running_.end()) {
    return;
  }
  Running& running = found->second;
  const CallId call = running.call;
  using Kind = ModelServer::Event::Kind;
  AttemptAnswered answered;
  answered.call = call;
  answered.attempt = event.attempt;
  answered.reply.status = 200;
  answered.reply.is_signed = true;
  answered.reply.load = event.load;
  answered.reply.has_invalid_load = !event.load;
  answered.complete = true;
  switch (event.kind) {
    case Kind::kEvent: {
      if (!running.answer_started) {
        running.answer_started = true;
        answered.complete = false;
        Raise(answered);
      }
      if (running_.count(event.attempt) == 0) {
        return;
      }
      Outcome& outcome = outcomes_[call];
      if (events_[call] > 0) {
        outcome.longest_gap =
            std::max(outcome.longest_gap, now_ - last_event_at_[call]);
      } else {
        outcome.first_byte = now_ - outcome.arrived_at;
      }
      last_event_at_[call] = now_;
      events_[call] = event.event;
      Raise(AttemptProgressed{call, event.attempt, event.event, event.event});
      return;
    }
    case Kind::kEnd:
      if (running.is_stream) {
        Raise(AttemptEnded{call, event.attempt});
      } else {
        outcomes_[call].first_byte = now_ - outcomes_[call].arrived_at;
        Raise(answered);
      }
      break;
    case Kind::kFailed:
      answered.reply.status = 500;
      Raise(answered);
      break;
    case Kind::kRefused:
      answered.reply.status = 503;
      answered.reply.not_run = true;
      Raise(answered);
      break;
    case Kind::kInstanceMismatch:
      answered.reply.status = 421;
      answered.reply.instance_mismatch = true;
      Raise(answered);
      break;
    case Kind::kLost:
      Raise(AttemptFailed{call, event.attempt, AttemptFailure::kLost});
      break;
    case Kind::kNotSent:
      Raise(AttemptFailed{call, event.attempt, AttemptFailure::kNotSent});
      break;
  }
  running_.erase(event.attempt);
}

void DispatchSimulation::Handle(const StartAttempt& command) {
  const size_t index = by_instance_.at(command.backend.instance);
  Running running;
  running.call = command.call;
  running.server = index;
  running.is_stream = command.is_stream;
  running_[command.attempt] = running;
  ++outcomes_[command.call].attempts_sent;
  ModelServer::Work work;
  work.attempt = command.attempt;
  const auto prompt = prompts_.find(command.call);
  if (prompt != prompts_.end()) {
    for (const PromptPart& part : prompt->second.parts) {
      work.parts.push_back(part.id);
      work.part_tokens.push_back(part.tokens);
    }
  }
  work.events = requested_events_[command.call];
  work.first_event = command.resume_after.value_or(0) + 1;
  servers_[index]->Start(now_, std::move(work));
}

void DispatchSimulation::Handle(const CancelAttempt& command) {
  const auto found = running_.find(command.attempt);
  if (found != running_.end()) {
    servers_[found->second.server]->Cancel(command.attempt);
    running_.erase(found);
  }
}

void DispatchSimulation::Handle(const RelayAnswer& /*command*/) {}

void DispatchSimulation::Handle(const RefuseCall& command) {
  Outcome& outcome = outcomes_[command.call];
  outcome.refusal = command.kind;
  outcome.retry_after = command.retry_after;
}

void DispatchSimulation::Handle(const AbortCall& command) {
  outcomes_[command.call].aborted = true;
}

void DispatchSimulation::Handle(const CallEnded& command) {
  Outcome& outcome = outcomes_[command.call];
  outcome.ended = true;
  outcome.ended_at = now_;
  outcome.answered = command.outcome == "answered";
  outcome.may_have_run = command.may_have_run;
}

void DispatchSimulation::Handle(const AttemptAbandoned& /*command*/) {}
void DispatchSimulation::Handle(const BackendHealthChanged& command) {
  health_changes_.push_back(command);
}
void DispatchSimulation::Handle(const platform::KvRead& /*command*/) {}
void DispatchSimulation::Handle(const platform::KvWrite& /*command*/) {}

DispatchSimulation::OutcomeCounts DispatchSimulation::CountOutcomes(
    const std::string& route) const {
  OutcomeCounts counts;
  for (const auto& [call, outcome] : outcomes_) {
    if (outcome.route != route) {
      continue;
    }
    ++counts.calls;
    const base::Millis objective = route == "chat"      ? kChatObjective
                                   : route == "summary" ? kSummaryObjective
                                                        : kPlainObjective;
    if (outcome.answered) {
      const bool on_time = outcome.first_byte <= objective &&
                           outcome.longest_gap <= kGapObjective;
      ++(on_time ? counts.on_time : counts.late);
    } else if (outcome.refusal != base::ErrorKind::kNone) {
      ++counts.refused;
      counts.longest_refusal = std::max(counts.longest_refusal,
                                        outcome.ended_at - outcome.arrived_at);
    } else {
      ++counts.failed;
    }
  }
  return counts;
}

}  // namespace godwit::dispatch
