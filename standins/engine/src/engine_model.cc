#include "engine_model.h"

#include <algorithm>
#include <utility>

#include "base/digester.h"

namespace godwit::standin {

void EngineModel::Submit(Job job) {
  const auto lower = [&job](const Job& other) {
    return other.priority < job.priority;
  };
  const auto position = std::find_if(queue_.begin(), queue_.end(), lower);
  queue_.insert(position, std::move(job));
}

bool EngineModel::Cancel(int64_t number) {
  const size_t before = queue_.size();
  queue_.remove_if([number](const Job& job) { return job.number == number; });
  return running_.erase(number) > 0 || queue_.size() < before;
}

std::optional<double> EngineModel::BeginStep(
    const std::function<void(int64_t)>& started) {
  double step_ms = settings_.decode_ms;
  while (!queue_.empty() && running_.size() < settings_.max_batch) {
    Job job = std::move(queue_.front());
    queue_.pop_front();
    const int64_t tokens = Prefill(job.prompt) + job.first_token;
    step_ms += static_cast<double>(tokens) * settings_.prefill_ms_per_token;
    ++counts_.executions;
    started(job.number);
    running_.emplace(job.number, std::move(job));
  }
  if (running_.empty()) {
    return std::nullopt;
  }
  const auto batch = static_cast<double>(running_.size());
  return step_ms + batch * settings_.decode_ms_per_request;
}

std::vector<EngineModel::Token> EngineModel::FinishStep(
    const std::function<bool(int64_t)>& stalled) {
  std::vector<Token> tokens;
  for (auto entry = running_.begin(); entry != running_.end();) {
    Job& job = entry->second;
    if (stalled(job.number)) {
      ++entry;
      continue;
    }
    const int64_t index = job.first_token++;
    const bool last = job.first_token >= job.end_token;
    tokens.push_back({job.number, index, last});
    ++counts_.tokens;
    entry = last ? running_.erase(entry) : std::next(entry);
  }
  return tokens;
}

int64_t EngineModel::Prefill(const std::vector<std::string>& prompt) {
  base::Digester prefix;
  size_t cached = 0;
  bool all_cached = true;
  for (size_t at = 0; at + kBlockTokens <= prompt.size(); at += kBlockTokens) {
    for (size_t word = at; word < at + kBlockTokens; ++word) {
      prefix.Update(prompt[word]).Update(" ");
    }
    all_cached = TouchBlock(prefix.Value().ToHex()) && all_cached;
    cached += all_cached ? kBlockTokens : 0;
  }
  const auto computed = static_cast<int64_t>(prompt.size() - cached);
  counts_.prefill_tokens += computed;
  counts_.cached_tokens += static_cast<int64_t>(cached);
  return computed;
}

bool EngineModel::TouchBlock(const std::string& block) {
  const auto known = cache_.find(block);
  if (known != cache_.end()) {
    recent_.splice(recent_.begin(), recent_, known->second);
    return true;
  }
  recent_.push_front(block);
  cache_[block] = recent_.begin();
  if (cache_.size() > settings_.cache_blocks) {
    cache_.erase(recent_.back());
    recent_.pop_back();
  }
  return false;
}

}  // namespace godwit::standin
