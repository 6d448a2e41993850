#include "open_streams.h"

#include <algorithm>

#include "process_fleet.h"

namespace godwit::process {
namespace {

// At this speed a token takes 400 ms, so that streams stay open while faults
// are injected.
constexpr char kSlow[] = R"({"speed":0.02})";
constexpr char kFullSpeed[] = R"({"speed":1.0})";
constexpr size_t kFirstBytes = 100;

}  // namespace

OpenStreams::OpenStreams(ProcessFleet& fleet,
                         size_t router,
                         const std::string& name,
                         size_t count)
    : fleet_(fleet) {
  fleet_.SetEngineFaults(kSlow);
  for (size_t index = 0; index < count; ++index) {
    const std::string key = name + "-" + std::to_string(index);
    calls_.push_back(Question("what does crew " + key + " report", key));
  }
  for (Call& call : calls_) {
    fleet_.Begin(router, call);
  }
}

bool OpenStreams::AwaitMidStream() {
  return Await([this] {
           return All([](const Call& call) {
             return call.ended || call.answer.size() > kFirstBytes;
           });
         }) &&
         All([](const Call& call) { return !call.ended; });
}

void OpenStreams::ResumeFullSpeed() {
  fleet_.SetEngineFaults(kFullSpeed);
}

bool OpenStreams::AwaitEnded() {
  return Await(
      [this] { return All([](const Call& call) { return call.ended; }); });
}

bool OpenStreams::Retry(size_t router) {
  for (Call& call : calls_) {
    if (!call.answered()) {
      fleet_.BeginRetry(router, call);
    }
  }
  return Await(
      [this] { return All([](const Call& call) { return call.answered(); }); });
}

bool OpenStreams::AllComplete() {
  return All([this](const Call& call) { return IsComplete(call); });
}

bool OpenStreams::NoPartialMarkedComplete() {
  return All([this](const Call& call) {
    return !call.answered() || IsComplete(call);
  });
}

size_t OpenStreams::answered() const {
  return static_cast<size_t>(
      std::count_if(calls_.begin(), calls_.end(),
                    [](const Call& call) { return call.answered(); }));
}

int64_t OpenStreams::usage() const {
  int64_t sum = 0;
  for (const Call& call : calls_) {
    sum += call.answered() ? call.usage() : 0;
  }
  return sum;
}

bool OpenStreams::All(const std::function<bool(const Call&)>& holds) const {
  return std::all_of(calls_.begin(), calls_.end(), holds);
}

bool OpenStreams::IsComplete(const Call& call) {
  return call.answered() && call.answer == fleet_.CompleteAnswer(call.body);
}

}  // namespace godwit::process
