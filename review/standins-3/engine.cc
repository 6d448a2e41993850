#include "engine.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {
namespace {

constexpr int64_t kBeatMs = 1200;
constexpr int64_t kCheckMs = 20;
constexpr int kSlots = 600;

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace

Engine::Engine(Store& store, std::string id, std::string service)
    : store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      server_([this](Connection& connection, const Message& request) {
        return Handle(connection, request);
      }) {
  Register();
  beats_ = std::thread([this] { SendBeats(); });
}

Engine::~Engine() {
  stops_ = true;
  beats_.join();
}

Engine::Run Engine::RunOf(const std::string& request) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = runs_.find(request);
  return found == runs_.end() ? Run() : found->second;
}

int64_t Engine::runs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int64_t>(runs_.size());
}

void Engine::Register() {
  store_.Put("servers/" + id_,
             {{"service", service_},
              {"address", "127.0.0.1:" + std::to_string(server_.port())},
              {"zone", "zone-a"},
              {"version", "v1"},
              {"slots", kSlots},
              {"state", "ready"},
              {"coldRemainingMs", 0},
              {"sequence", ++sequence_}});
}

void Engine::SendBeats() {
  int64_t next = NowMs() + kBeatMs;
  while (!stops_) {
    SleepMs(kCheckMs);
    if (NowMs() >= next) {
      next += kBeatMs;
      Register();
    }
  }
}

bool Engine::Handle(Connection& connection, const Message& request) {
  const std::string load =
      std::to_string(running_) + ",0," + std::to_string(kSlots);
  if (request.target == "/health") {
    return connection.Write(Response(
        200,
        {{"Godwitlatch-Instance-Id", id_}, {"Godwitlatch-Engine-Load", load}},
        ""));
  }
  if (request.target == "/api/report") {
    return connection.Write(
        Response(200, {{"Content-Type", "application/json"}},
                 R"({"stage":"both","models":[{"name":"m","version":1,)"
                 R"("adapters":[]}],"busy":false,"sequence":0,"waiting":0,)"
                 R"("running":0,"kvUsed":0,"kvTotal":1000000,"handles":0})"));
  }
  const std::string expected = request.Header("godwitlatch-expect-instance");
  if (!expected.empty() && expected != id_) {
    return connection.Write(
        Response(421, {{"Godwitlatch-Instance-Id", id_}}, ""));
  }
  ++running_;
  const bool keeps = request.Header("x-plan").compare(0, 5, "body,") == 0
                         ? Answer(connection, request)
                         : Stream(connection, request);
  --running_;
  return keeps;
}

bool Engine::Answer(Connection& connection, const Message& request) {
  const std::string id = request.Header("godwitlatch-attempt-id");
  const std::string plan = request.Header("x-plan");
  const size_t size = std::strtoull(plan.c_str() + 5, nullptr, 10);
  Run run;
  run.started_at = NowMs();
  run.is_complete =
      connection.Write(Response(200,
                                {{"Content-Type", "application/octet-stream"},
                                 {"Godwitlatch-Attempt-Id", id},
                                 {"Godwitlatch-Response-Seal", "seal." + id}},
                                std::string(size, 'x')));
  run.ended_at = NowMs();
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_[id] = run;
  return run.is_complete;
}

bool Engine::Stream(Connection& connection, const Message& request) {
  const std::string id = request.Header("godwitlatch-attempt-id");
  const std::string plan = request.Header("x-plan");
  const int64_t events = std::strtoll(plan.c_str(), nullptr, 10);
  const int64_t gap =
      std::strtoll(plan.c_str() + plan.find(',') + 1, nullptr, 10);
  const int64_t first =
      std::strtoll(request.Header("last-event-id").c_str(), nullptr, 10) + 1;
  const int64_t deadline =
      NowMs() + std::strtoll(request.Header("godwitlatch-deadline-ms").c_str(),
                             nullptr, 10);
  Run run;
  run.started_at = NowMs();
  const auto record = [&] {
    run.ended_at = NowMs();
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[id] = run;
  };
  record();
  std::string text =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Godwitlatch-Attempt-Id: " +
      id + "\r\nGodwitlatch-Response-Seal: seal." + id +
      "\r\nGodwitlatch-Engine-Load: " + std::to_string(running_) + ",0," +
      std::to_string(kSlots) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int64_t event = first; event <= events; ++event) {
    const int64_t at = NowMs() + gap;
    while (NowMs() < at) {
      SleepMs(std::min(kCheckMs, at - NowMs()));
      if (stops_ || connection.IsClosedByPeer() || NowMs() >= deadline) {
        record();
        return false;
      }
    }
    text += Chunk("id: " + std::to_string(event) + "\ndata: " + id + "-" +
                  std::to_string(event) + "\n\n");
    if (!connection.Write(text)) {
      record();
      return false;
    }
    text.clear();
    ++run.events;
  }
  run.is_complete = connection.Write(text + Chunk(""));
  record();
  return run.is_complete;
}

}  // namespace review
