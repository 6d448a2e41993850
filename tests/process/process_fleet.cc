#include "process_fleet.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/clocks.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "runtime/runtime.h"

namespace godwit::process {
namespace {

using nlohmann::json;
using runtime::Runtime;
using support::ChildProcess;

constexpr char kIp[] = "127.0.0.1";
constexpr base::Millis kAwaitTimeout = base::Seconds(60);
constexpr base::Millis kPollPeriod(20);
constexpr base::Millis kRetryPause(50);
constexpr base::Millis kFetchTimeout = base::Seconds(5);
constexpr char kBudgetName[] = "kiosk-line-main";
constexpr std::array<const char*, 2> kDataCentres = {"keelung", "banqiao"};

// SHA-256 of demo-key.
constexpr char kConfig[] = R"(classes:
  patient: {priority: 80, deadline_ms: 60000}
services:
  language:
    kind: model_pool
    model: fault-scribe
    backend_servers: [engine-keelung, engine-banqiao]
    max_output_tokens: 64
  dispatch:
    kind: plain
    backend_servers: [dispatch-keelung, dispatch-banqiao]
    call_cost: 5
    max_running: MAX_RUNNING
organisations:
  kiosk-line:
    api_key_hashes: [KEY_HASH]
    budget: kiosk-line-main
)";
constexpr char kApiKey[] = "demo-key";
constexpr char kKeyHash[] =
    "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c";

void Replace(std::string& text,
             const std::string& from,
             const std::string& to) {
  text.replace(text.find(from), from.size(), to);
}

http::Request RequestOf(const Call& call) {
  http::Request request{"POST", call.path, {}, call.body};
  request.headers["authorization"] = std::string("Bearer ") + kApiKey;
  request.headers["content-type"] = "application/json";
  request.headers["godwit-class"] = "patient";
  if (!call.key.empty()) {
    request.headers["idempotency-key"] = call.key;
  }
  if (!call.repeatable) {
    request.headers["godwit-repeatable"] = "false";
  }
  return request;
}

}  // namespace

void RunOnCore(const std::function<void(Runtime&)>& body) {
  std::exception_ptr failure;
  Runtime runtime;
  runtime.Run([&] {
    try {
      body(runtime);
    } catch (...) {
      failure = std::current_exception();
    }
    runtime.Stop();
  });
  if (failure) {
    std::rethrow_exception(failure);
  }
}

bool Await(const std::function<bool()>& condition) {
  const base::Millis limit = base::SteadyNow() + kAwaitTimeout;
  while (!condition()) {
    if (base::SteadyNow() > limit) {
      return false;
    }
    Runtime::SleepFor(kPollPeriod);
  }
  return true;
}

ProcessFleet::ProcessFleet(Runtime& runtime, int64_t limit)
    : runtime_(runtime),
      platform_("standin-platform", {}),
      reference_engine_("standin-engine", {}) {
  RunTool("config apply " + ConfigFile(32) + " --expect 0");
  RunTool(std::string("budget create ") + kBudgetName + " --limit " +
          std::to_string(limit) + " --op first");
  for (const std::string centre : kDataCentres) {
    engines_.push_back(
        StartAgent("engine-" + centre, centre, "model_pool", "standin-engine"));
    services_.push_back(
        StartAgent("dispatch-" + centre, centre, "plain", "standin-service"));
  }
  StartRouter(0);
  StartRouter(1);
}

ProcessFleet::~ProcessFleet() = default;

bool ProcessFleet::AwaitReady() {
  return Await([this] {
    for (size_t index = 0; index < routers_.size(); ++index) {
      const json status = Status(index);
      if (!status.value("ready", false) || status.value("links", 0) != 4) {
        return false;
      }
    }
    return true;
  });
}

std::unique_ptr<FleetProcess> ProcessFleet::NewProcess(
    const std::string& name,
    const std::string& data_centre) {
  auto started = std::make_unique<FleetProcess>();
  started->name = name;
  started->data_centre = data_centre;
  started->settings_file = directory_.path() + "/" + name + ".yaml";
  started->platform = std::make_unique<Relay>(runtime_);
  started->platform->ForwardTo(platform_.port());
  std::ofstream(started->settings_file)
      << "process: " << name << "\nfleet: demo\ndata_centre: " << data_centre
      << "\nlisten_port: 0\nplatform: " << kIp << ":"
      << started->platform->port() << "\n";
  return started;
}

std::unique_ptr<FleetProcess> ProcessFleet::StartAgent(
    const std::string& name,
    const std::string& data_centre,
    const std::string& kind,
    const std::string& stand_in) {
  auto agent = NewProcess(name, data_centre);
  agent->backend =
      std::make_unique<ChildProcess>(stand_in, std::vector<std::string>());
  agent->links = std::make_unique<Relay>(runtime_);
  std::ofstream(agent->settings_file, std::ios::app)
      << "kind: " << kind << "\nbackend: " << kIp << ":"
      << agent->backend->port() << "\nadvertise_port: " << agent->links->port()
      << "\n";
  agent->process = std::make_unique<ChildProcess>(
      "godwit-agent",
      std::vector<std::string>{"--settings", agent->settings_file});
  agent->links->ForwardTo(agent->process->port());
  return agent;
}

void ProcessFleet::StartRouter(size_t index) {
  const std::string centre = kDataCentres.at(index % kDataCentres.size());
  auto router = NewProcess("router-" + std::to_string(index), centre);
  router->process = std::make_unique<ChildProcess>(
      "godwit-router",
      std::vector<std::string>{"--settings", router->settings_file});
  if (index == routers_.size()) {
    routers_.push_back(std::move(router));
  } else {
    routers_.at(index) = std::move(router);
  }
}

bool ProcessFleet::Perform(size_t router, Call& call) {
  call.status = 0;
  call.answer.clear();
  call.ended = false;
  call.complete = false;
  http::ClientPool pool(runtime_, kIp, routers_.at(router)->process->port());
  http::ClientCall exchange(pool, RequestOf(call));
  exchange.IdleTimeout(kAwaitTimeout)
      .OnHead([&](const http::Response& head) { call.status = head.status; })
      .OnBody([&](std::string_view bytes) { call.answer += bytes; });
  call.complete = exchange.Perform().has_value();
  call.ended = true;
  return call.answered();
}

void ProcessFleet::Begin(size_t router, Call& call) {
  runtime_.Spawn([this, router, &call] { Perform(router, call); });
}

bool ProcessFleet::Retry(size_t router,
                         Call& call,
                         const std::function<bool(const Call&)>& is_final) {
  const base::Millis limit = base::SteadyNow() + kAwaitTimeout;
  while (base::SteadyNow() < limit) {
    if (Perform(router, call)) {
      return true;
    }
    if (is_final && is_final(call)) {
      return false;
    }
    router = (router + 1) % routers_.size();
    Runtime::SleepFor(kRetryPause);
  }
  return false;
}

void ProcessFleet::BeginRetry(size_t router,
                              Call& call,
                              std::function<bool(const Call&)> is_final) {
  runtime_.Spawn([this, router, &call, is_final = std::move(is_final)] {
    Retry(router, call, is_final);
  });
}

std::string ProcessFleet::CompleteAnswer(const std::string& body) {
  http::ClientPool pool(runtime_, kIp, reference_engine_.port());
  http::ClientCall call(pool, {"POST", "/v1/chat/completions", {}, body});
  const auto response = call.Perform();
  return response ? response->body : "";
}

json ProcessFleet::FetchJson(uint16_t port,
                             const std::string& method,
                             const std::string& path,
                             const std::string& body) {
  http::ClientPool pool(runtime_, kIp, port);
  http::ClientCall call(pool, {method, path, {}, body});
  call.TotalTimeout(kFetchTimeout);
  const auto response = call.Perform();
  json answer =
      response ? json::parse(response->body, nullptr, false) : json::object();
  return answer.is_object() ? answer : json::object();
}

void ProcessFleet::SetFault(uint16_t port, const std::string& faults) {
  FetchJson(port, "POST", "/fault", faults);
}

void ProcessFleet::SetEngineFaults(const std::string& faults) {
  for (const auto& agent : engines_) {
    SetFault(agent->backend->port(), faults);
  }
}

int64_t ProcessFleet::CountAtEngines(const std::string& name) {
  int64_t sum = 0;
  for (const auto& agent : engines_) {
    sum += FetchJson(agent->backend->port(), "GET", "/stats")
               .value(name, int64_t{0});
  }
  return sum;
}

int64_t ProcessFleet::MaxExecutionsPerKey() {
  std::map<std::string, int64_t> by_key;
  for (const auto& agent : services_) {
    const json stats = FetchJson(agent->backend->port(), "GET", "/stats");
    for (const auto& [key, count] : stats.at("executions_by_key").items()) {
      by_key[key] += count.get<int64_t>();
    }
  }
  int64_t most = 0;
  for (const auto& [key, count] : by_key) {
    most = std::max(most, count);
  }
  return most;
}

int64_t ProcessFleet::Executions() {
  int64_t sum = 0;
  for (const auto& agent : services_) {
    sum += FetchJson(agent->backend->port(), "GET", "/stats")
               .at("executions")
               .get<int64_t>();
  }
  return sum;
}

void ProcessFleet::PublishVms() {
  json vms = json::array();
  for (const auto* agents : {&engines_, &services_}) {
    for (const auto& agent : *agents) {
      const std::string address =
          std::string(kIp) + ":" + std::to_string(agent->links->port());
      vms.push_back({{"name", agent->name},
                     {"address", address},
                     {"role", "agent"},
                     {"data_centre", agent->data_centre},
                     {"state", "live"}});
    }
  }
  FetchJson(platform_.port(), "PUT", "/vms", vms.dump());
}

json ProcessFleet::Status(size_t router) {
  return FetchJson(routers_.at(router)->process->port(), "GET", "/status");
}

std::string ProcessFleet::CommandLine(const std::string& arguments) const {
  const char* directory = std::getenv("GODWIT_BIN_DIR");
  return std::string(directory == nullptr ? "out/bin" : directory) +
         "/godwitctl --platform " + kIp + ":" +
         std::to_string(platform_.port()) + " " + arguments + " 2>&1";
}

ProcessFleet::Output ProcessFleet::RunTool(const std::string& arguments) const {
  return RunTools({arguments}).front();
}

std::vector<ProcessFleet::Output> ProcessFleet::RunTools(
    const std::vector<std::string>& arguments) const {
  std::vector<FILE*> pipes;
  pipes.reserve(arguments.size());
  for (const std::string& line : arguments) {
    pipes.push_back(popen(CommandLine(line).c_str(), "r"));
  }
  std::vector<Output> outputs;
  outputs.reserve(pipes.size());
  for (FILE* pipe : pipes) {
    Output output;
    std::array<char, 4096> buffer{};
    while (const size_t count =
               std::fread(buffer.data(), 1, buffer.size(), pipe)) {
      output.text.append(buffer.data(), count);
    }
    output.exit_code = WEXITSTATUS(pclose(pipe));
    outputs.push_back(std::move(output));
  }
  return outputs;
}

json ProcessFleet::Budget() const {
  return json::parse(
      RunTool(std::string("--json budget show ") + kBudgetName).text, nullptr,
      false);
}

bool ProcessFleet::AwaitBilled(int64_t tokens) const {
  return Await([&] {
    const json budget = Budget();
    return budget.value("billed", int64_t{-1}) == tokens &&
           budget.value("held", int64_t{-1}) == 0;
  });
}

std::string ProcessFleet::ConfigFile(int64_t max_running) const {
  std::string path =
      directory_.path() + "/fleet-" + std::to_string(max_running) + ".yaml";
  std::string text = kConfig;
  Replace(text, "MAX_RUNNING", std::to_string(max_running));
  Replace(text, "KEY_HASH", kKeyHash);
  std::ofstream(path) << text;
  return path;
}

}  // namespace godwit::process
