#include "engine_service.h"

#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "base/clocks.h"
#include "base/error.h"
#include "http/error_response.h"
#include "http/exchange.h"
#include "http/request.h"
#include "runtime/runtime.h"
#include "support/stand_in.h"

namespace godwit::standin {
namespace {

using base::ErrorKind;
using http::Response;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr base::Millis kLoadSamplePeriod(50);
constexpr int64_t kDefaultMaxTokens = 256;
// Unsent bytes above which a caller counts as slow and its job is stalled.
constexpr size_t kMaxQueuedBytes = 64 * 1024;
constexpr int kCrashExitCode = 3;
constexpr std::string_view kCancelPath = "/cancel/";

Response Refusal(int status, ErrorKind kind, const char* message) {
  return http::ErrorResponse(status, {kind, message, "correct the request"},
                             true);
}

std::string HeaderOf(const http::Request& request, const char* name) {
  const auto field = request.headers.find(name);
  return field == request.headers.end() ? "" : field->second;
}

std::vector<std::string> Words(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  std::string word;
  while (stream >> word) {
    words.push_back(std::move(word));
  }
  return words;
}

// The contents of all messages, one per line; empty if the messages are
// malformed.
std::optional<std::string> PromptOf(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return std::nullopt;
  }
  std::string prompt;
  for (const json& message : *messages) {
    if (!message.is_object()) {
      return std::nullopt;
    }
    prompt += MemberOr(message, "content", std::string()) + "\n";
  }
  return prompt;
}

std::string Event(const json& event) {
  return "data: " + event.dump() + "\n\n";
}

}  // namespace

struct EngineService::Wakeup {
  void Notify() { changed.notify_all(); }

  template <typename Condition>
  void WaitUntil(Condition condition) {
    std::unique_lock<boost::fibers::mutex> lock(mutex);
    changed.wait(lock, condition);
  }

  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
};

EngineService::EngineService(runtime::Runtime& runtime,
                             const Settings& settings)
    : settings_(settings),
      model_(settings.model),
      wakeup_(std::make_unique<Wakeup>()) {
  SampleLoad();
  runtime.Every(kLoadSamplePeriod, [this] { SampleLoad(); });
  runtime.Spawn([this] { RunSteps(); });
}

EngineService::~EngineService() = default;

void EngineService::RunSteps() {
  for (;;) {
    wakeup_->WaitUntil([this] {
      return !faults_.hang && model_.running() + model_.queued() > 0;
    });
    const Clock::time_point started_at = Clock::now();
    const auto step_ms = model_.BeginStep(
        [this](int64_t number) { ++executions_by_id_[calls_.at(number).id]; });
    if (!step_ms) {
      continue;
    }
    const std::chrono::duration<double, std::milli> pause(*step_ms /
                                                          faults_.speed);
    boost::this_fiber::sleep_until(
        started_at + std::chrono::duration_cast<Clock::duration>(pause));
    for (const EngineModel::Token& token : model_.FinishStep(
             [this](int64_t number) { return IsStalled(number); })) {
      Deliver(token);
    }
  }
}

void EngineService::Handle(const std::shared_ptr<http::Exchange>& exchange) {
  const http::Request& request = exchange->request();
  const std::string& target = request.target;
  if (target == "/v1/chat/completions") {
    Complete(exchange);
  } else if (target.compare(0, kCancelPath.size(), kCancelPath) == 0) {
    exchange->Respond(CancelById(target.substr(kCancelPath.size())));
  } else if (target == "/load") {
    exchange->Respond(Load());
  } else if (target == "/order") {
    exchange->Respond(Order(request));
  } else if (target == "/fault") {
    exchange->Respond(SetFaults(request));
  } else if (target == "/stats") {
    exchange->Respond(Stats());
  } else {
    exchange->Respond(Refusal(404, ErrorKind::kNotFound, "no such call"));
  }
}

void EngineService::Complete(const std::shared_ptr<http::Exchange>& exchange) {
  if (faults_.fail_next > 0) {
    --faults_.fail_next;
    exchange->Respond(
        Refusal(faults_.fail_status, ErrorKind::kInternal, "injected failure"));
    return;
  }
  const json body = ParseObject(exchange->request().body);
  if (!PromptOf(body)) {
    exchange->Respond(
        Refusal(400, ErrorKind::kInvalidArgument, "messages are missing"));
    return;
  }
  Open(exchange, body);
}

void EngineService::Open(const std::shared_ptr<http::Exchange>& exchange,
                         const json& body) {
  const http::Request& request = exchange->request();
  const std::string prompt = *PromptOf(body);
  const int64_t min_tokens =
      MemberOr(body, "min_tokens", settings_.min_answer_tokens);
  const Answer answer(prompt, min_tokens,
                      std::max(min_tokens, settings_.max_answer_tokens));
  const int64_t number = ++last_number_;
  EngineModel::Job job;
  job.number = number;
  job.prompt = Words(prompt);
  const std::string priority = HeaderOf(request, "x-priority");
  std::from_chars(priority.data(), priority.data() + priority.size(),
                  job.priority);
  job.first_token = MemberOr(body, "resume_tokens", int64_t{0});
  job.end_token = std::min(answer.length(),
                           MemberOr(body, "max_tokens", kDefaultMaxTokens));
  Call call{HeaderOf(request, "x-request-id"),
            exchange,
            answer,
            static_cast<int64_t>(job.prompt.size()),
            job.end_token,
            MemberOr(body, "stream", false),
            ""};
  if (call.stream) {
    exchange->BeginStream(200, {{"content-type", "text/event-stream"}});
  }
  exchange->OnCallerDisconnected([this, number] { Cancel(number); });
  calls_.emplace(number, std::move(call));
  if (job.first_token >= job.end_token) {
    Finish(number);
    return;
  }
  model_.Submit(std::move(job));
  wakeup_->Notify();
}

void EngineService::Deliver(const EngineModel::Token& token) {
  Call& call = calls_.at(token.job);
  const std::string text = call.answer.Token(token.index);
  if (call.stream) {
    const json choice = {{"delta", {{"content", text}}}, {"index", 0}};
    call.exchange->Write(Event({{"choices", json::array({choice})}}));
  } else {
    call.content += text;
  }
  CountTokenTowardsCrash();
  if (token.last) {
    Finish(token.job);
  }
}

void EngineService::Finish(int64_t number) {
  const auto entry = calls_.find(number);
  const Call call = std::move(entry->second);
  calls_.erase(entry);
  const bool complete = call.end_token == call.answer.length();
  const char* reason = complete ? "stop" : "length";
  const json usage = {{"prompt_tokens", call.prompt_tokens},
                      {"completion_tokens", call.end_token},
                      {"total_tokens", call.prompt_tokens + call.end_token}};
  if (call.stream) {
    const json choice = {
        {"delta", json::object()}, {"finish_reason", reason}, {"index", 0}};
    call.exchange->Write(
        Event({{"choices", json::array({choice})}, {"usage", usage}}) +
        "data: [DONE]\n\n");
    call.exchange->EndStream();
    return;
  }
  const json message = {{"role", "assistant"}, {"content", call.content}};
  const json choice = {
      {"message", message}, {"finish_reason", reason}, {"index", 0}};
  call.exchange->Respond(JsonResponse(
      200, {{"choices", json::array({choice})}, {"usage", usage}}));
}

bool EngineService::IsStalled(int64_t number) const {
  return calls_.at(number).exchange->queued_bytes() > kMaxQueuedBytes;
}

bool EngineService::Cancel(int64_t number) {
  if (!model_.Cancel(number)) {
    return false;
  }
  ++cancelled_;
  const auto entry = calls_.find(number);
  entry->second.exchange->Abort();
  calls_.erase(entry);
  return true;
}

Response EngineService::CancelById(const std::string& id) {
  std::vector<int64_t> numbers;
  for (const auto& [number, call] : calls_) {
    if (call.id == id) {
      numbers.push_back(number);
    }
  }
  for (const int64_t number : numbers) {
    Cancel(number);
  }
  return JsonResponse(200, {{"cancelled", numbers.size()}});
}

// Terminates the process at once, as a crash does, without a graceful shutdown.
void EngineService::CountTokenTowardsCrash() {
  if (faults_.die_after_tokens > 0 && --faults_.die_after_tokens == 0) {
    std::_Exit(kCrashExitCode);
  }
}

void EngineService::SampleLoad() {
  const base::Millis now = base::SteadyNow();
  load_samples_.push_back(
      {now, model_.running(), model_.queued(), model_.cached_blocks()});
  while (load_samples_.size() > 1 &&
         load_samples_[1].taken_at + settings_.load_lag <= now) {
    load_samples_.pop_front();
  }
}

Response EngineService::Load() const {
  const LoadSample& sample = load_samples_.front();
  const base::Millis age = base::SteadyNow() - sample.taken_at;
  return JsonResponse(200, {{"running", sample.running},
                            {"queued", sample.queued},
                            {"max_batch", settings_.model.max_batch},
                            {"cached_prefixes", sample.cached_prefixes},
                            {"sampled_ms_ago", age.count()}});
}

Response EngineService::Order(const http::Request& request) {
  const json order = ParseObject(request.body);
  const int64_t fence = MemberOr(order, "fence", int64_t{0});
  if (settings_.check_fence && fence < highest_fence_) {
    return Refusal(409, ErrorKind::kStale, "the fencing number is too low");
  }
  highest_fence_ = std::max(highest_fence_, fence);
  orders_.push_back(order.dump());
  return JsonResponse(200, {{"done", true}});
}

Response EngineService::SetFaults(const http::Request& request) {
  const json faults = ParseObject(request.body);
  faults_.hang = MemberOr(faults, "hang", faults_.hang);
  faults_.fail_next = MemberOr(faults, "fail_next", faults_.fail_next);
  faults_.fail_status = MemberOr(faults, "fail_status", faults_.fail_status);
  faults_.speed = MemberOr(faults, "speed", faults_.speed);
  faults_.die_after_tokens =
      MemberOr(faults, "die_after_tokens", faults_.die_after_tokens);
  wakeup_->Notify();
  return JsonResponse(200, json::object());
}

Response EngineService::Stats() const {
  const EngineModel::Counts& counts = model_.counts();
  json orders = json::array();
  for (const std::string& order : orders_) {
    orders.push_back(json::parse(order));
  }
  return JsonResponse(200, {{"executions", counts.executions},
                            {"tokens", counts.tokens},
                            {"prefill_tokens", counts.prefill_tokens},
                            {"cached_tokens", counts.cached_tokens},
                            {"cancelled", cancelled_},
                            {"executions_by_id", executions_by_id_},
                            {"orders", orders}});
}

}  // namespace godwit::standin
