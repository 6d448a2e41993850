#include "call.h"

#include <nlohmann/json.hpp>

namespace godwit::process {
namespace {

constexpr int64_t kAnswerTokens = 40;
constexpr char kTotalTokens[] = "\"total_tokens\":";

nlohmann::json ErrorOf(const std::string& answer) {
  const auto json = nlohmann::json::parse(answer, nullptr, false);
  return json.is_object() ? json.value("error", nlohmann::json::object())
                          : nlohmann::json::object();
}

}  // namespace

std::string Call::error_kind() const {
  return status == 200 ? "" : ErrorOf(answer).value("kind", "");
}

bool Call::not_run() const {
  return complete && status != 200 && ErrorOf(answer).value("not_run", false);
}

int64_t Call::usage() const {
  const size_t found = answer.find(kTotalTokens);
  return found == std::string::npos
             ? 0
             : std::stoll(answer.substr(found + sizeof(kTotalTokens) - 1));
}

Call Question(const std::string& question, const std::string& key) {
  Call call;
  call.path = "/v1/chat/completions";
  call.body =
      nlohmann::json{{"model", "fault-scribe"},
                     {"stream", true},
                     {"min_tokens", kAnswerTokens},
                     {"max_tokens", kAnswerTokens},
                     {"messages", {{{"role", "user"}, {"content", question}}}}}
          .dump();
  call.key = key;
  return call;
}

Call Ticket(const std::string& key) {
  Call call;
  call.path = "/services/dispatch/tickets";
  call.body = "{}";
  call.key = key;
  call.repeatable = false;
  return call;
}

std::vector<Call> ManyQuestions(size_t count) {
  std::vector<Call> calls;
  for (size_t index = 0; index < count; ++index) {
    const std::string key = "question-" + std::to_string(index);
    calls.push_back(Question(key, key));
  }
  return calls;
}

bool IsExhausted(const Call& call) {
  return call.error_kind() == "budget_exhausted" && call.not_run();
}

bool IsFinished(const Call& call) {
  return call.answered() || IsExhausted(call);
}

int64_t TotalUsage(const std::vector<Call>& calls) {
  int64_t sum = 0;
  for (const Call& call : calls) {
    sum += call.answered() ? call.usage() : 0;
  }
  return sum;
}

}  // namespace godwit::process
