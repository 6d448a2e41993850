#include "test_fleet.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "http/target.h"
#include "ledger/ledger_codec.h"
#include "ledger/ledger_record.h"
#include "ledger/shard.h"
#include "raw_connection.h"
#include "tls_connection.h"

namespace godwit::router_daemon {
namespace {

using support::ChildProcess;

// Offset of the status code, after "HTTP/1.1 ".
constexpr size_t kStatusOffset = 9;
constexpr std::chrono::seconds kAwaitTimeout(20);
constexpr std::chrono::milliseconds kAwaitPeriod(20);

// The API key hash is that of "demo-key".
constexpr char kConfiguration[] = R"(classes:
  kiosk: {priority: 80, deadline_ms: 60000}
services:
  language:
    kind: model_pool
    model: fault-scribe
    backend_servers: [engine-1]
    max_output_tokens: 64
    objective: {first_token_ms: 1, token_gap_ms: 1}
  dispatch:
    kind: plain
    backend_servers: [dispatch-1]
    call_cost: 5
organisations:
  kiosk-line:
    api_key_hashes: [c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c]
    budget: kiosk-line-main
)";

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

}  // namespace

bool Await(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kAwaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kAwaitPeriod);
  }
  return true;
}

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::string RequestText(const std::string& target,
                        const std::string& body,
                        const std::string& headers) {
  const std::string verb = body.empty() ? "GET " : "POST ";
  return verb + target +
         " HTTP/1.1\r\nHost: router\r\nConnection: close\r\n"
         "Authorization: Bearer demo-key\r\n"
         "Content-Type: application/json\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string QuestionText() {
  return RequestText(
      "/v1/chat/completions",
      R"({"model":"fault-scribe","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Booth 14 has no dial tone"}]})");
}

std::string TicketText() {
  return RequestText("/services/dispatch/tickets", R"({"booth":14})");
}

int StatusOfAnswer(const std::string& answer) {
  return answer.size() < kStatusOffset
             ? 0
             : std::atoi(answer.c_str() + kStatusOffset);
}

std::string BodyOfAnswer(const std::string& answer) {
  const size_t end = answer.find("\r\n\r\n");
  return end == std::string::npos ? "" : answer.substr(end + 4);
}

TestFleet::TestFleet(Lines lines) : lines_(std::move(lines)) {
  engine_agent = StartAgent("engine-1", "model_pool", engine);
  service_agent = StartAgent("dispatch-1", "plain", service);
  const std::string configuration = directory.path() + "/fleet.yaml";
  WriteFile(configuration, kConfiguration);
  RunGodwitctl({"config", "apply", configuration, "--expect", "0"});
  RunGodwitctl({"budget", "create", "kiosk-line-main", "--limit", "2000",
                "--op", "first"});
  router = StartRouter("router-1", lines_.router);
}

std::string TestFleet::Send(const std::string& bytes) const {
  if (lines_.caller_tls) {
    http::TlsConnection connection(port());
    connection.Send(bytes);
    return connection.ReadToEnd();
  }
  http::RawConnection connection(port());
  connection.Send(bytes);
  return connection.ReadToEnd();
}

std::string TestFleet::Get(const std::string& target) const {
  return Send(RequestText(target, ""));
}

bool TestFleet::IsReady() const {
  return StatusOfAnswer(Get("/readyz")) == 200 &&
         Get("/status").find(R"("links":2)") != std::string::npos;
}

std::unique_ptr<ChildProcess> TestFleet::StartRouter(const std::string& name,
                                                     const std::string& lines) {
  return StartProcess("godwit-router", name,
                      "listen_port: 0\nlog_format: json\n" + lines);
}

std::unique_ptr<ChildProcess> TestFleet::StartAgent(
    const std::string& name,
    const std::string& kind,
    const ChildProcess& backend) const {
  return StartProcess("godwit-agent", name,
                      "kind: " + kind + "\nbackend: 127.0.0.1:" +
                          std::to_string(backend.port()) + "\n" + lines_.agent);
}

std::unique_ptr<ChildProcess> TestFleet::StartProcess(
    const std::string& program,
    const std::string& name,
    const std::string& lines) const {
  const std::string start = directory.path() + "/" + name;
  WriteFile(start + ".yaml", "process: " + name +
                                 "\nfleet: test\ndata_centre: keelung\n"
                                 "platform: 127.0.0.1:" +
                                 std::to_string(platform.port()) + "\n" +
                                 lines);
  return std::make_unique<ChildProcess>(
      program, std::vector<std::string>{"--settings", start + ".yaml"},
      start + ".log");
}

int TestFleet::RunGodwitctl(std::vector<std::string> arguments) const {
  arguments.insert(
      arguments.begin(),
      {"--platform", "127.0.0.1:" + std::to_string(platform.port())});
  return ChildProcess("godwitctl", arguments, directory.path() + "/ctl.log")
      .Wait();
}

std::optional<size_t> TestFleet::Grants() const {
  const base::BudgetId budget("kiosk-line-main");
  http::RawConnection connection(platform.port());
  connection.Send(RequestText(
      "/kv/" + http::PercentEncode(ledger::ShardKey(ledger::ShardOf(budget))),
      ""));
  ledger::LedgerCodec codec;
  const auto record = codec.Decode(BodyOfAnswer(connection.ReadToEnd()));
  if (!record || record->budgets.count(budget) == 0) {
    return std::nullopt;
  }
  return record->budgets.at(budget).grants.size();
}

std::string TestFleet::Log(const std::string& process) const {
  return ReadFile(directory.path() + "/" + process + ".log");
}

bool TestFleet::HasLogged(const std::string& event,
                          const std::string& process) const {
  const std::string log = Log(process);
  return log.find("\"name\":\"" + event + "\"") != std::string::npos ||
         log.find(" " + event + " ") != std::string::npos;
}

void TestFleet::InjectFaults(const ChildProcess& server,
                             const std::string& faults) const {
  http::RawConnection connection(server.port());
  connection.Send(RequestText("/fault", faults));
  connection.ReadToEnd();
}

}  // namespace godwit::router_daemon
