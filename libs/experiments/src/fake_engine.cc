#include "fake_engine.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/millis.h"

namespace godwit::experiments {

namespace {

constexpr base::Tokens kTokensPerBlock = 64;
constexpr int64_t kMicrosPerMilli = 1000;
// Tokens of prefill that offset one point of priority in shortest-prefill
// order.
constexpr base::Tokens kTokensPerPoint = 500;

}  // namespace

FakeEngine::FakeEngine(const EngineSettings& settings)
    : settings_(settings), queue_(std::numeric_limits<size_t>::max()) {}

void FakeEngine::Enqueue(int64_t now, EngineRequest request) {
  const int64_t id = request.id;
  int64_t rank = request.priority;
  if (settings_.order == QueueOrder::kShortestPrefill) {
    rank -= request.prompt_tokens / kTokensPerPoint;
  }
  if (settings_.order == QueueOrder::kArrival) {
    arrivals_.push_back(id);
  } else {
    // The picker has already checked the deadline; the queue only orders the
    // requests.
    const admission::PendingEntry entry{
        id, rank, base::Millis(std::numeric_limits<int64_t>::max() / 2)};
    queue_.Push(base::Millis(now / kMicrosPerMilli), entry);
  }
  deadlines_.emplace(request.deadline_us, id);
  waiting_.emplace(id, std::move(request));
}

std::optional<int64_t> FakeEngine::StartStep(int64_t now) {
  Expire(now);
  Admit(now);
  if (batch_.empty() && events_.empty()) {
    return std::nullopt;
  }
  const base::Tokens prefill = PlanPrefill();
  int64_t decoding = 0;
  for (const Running& running : batch_) {
    decoding += running.prefill_left == 0 ? 1 : 0;
  }
  const int64_t span = settings_.step_us + decoding * settings_.decode_us +
                       prefill * settings_.prefill_token_us;
  return now + span * settings_.slowness;
}

std::vector<EngineEvent> FakeEngine::EndStep(int64_t /*now*/) {
  std::vector<Running> remaining;
  for (Running& running : batch_) {
    const bool was_prefilling = running.prefill_left > 0;
    running.prefill_left -= std::exchange(running.prefill_now, 0);
    if (running.prefill_left > 0) {
      remaining.push_back(std::move(running));
      continue;
    }
    if (was_prefilling) {
      events_.push_back({running.request.id, EngineEventKind::kFirstToken});
      const auto& blocks = running.request.blocks;
      for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        Cache(*block);
      }
    }
    ++running.decoded;
    if (running.decoded >= running.request.output_tokens) {
      events_.push_back({running.request.id, EngineEventKind::kEnded});
    } else {
      remaining.push_back(std::move(running));
    }
  }
  batch_ = std::move(remaining);
  return std::exchange(events_, {});
}

int64_t FakeEngine::ExactWait(base::Tokens prompt_tokens) const {
  base::Tokens work = prompt_tokens;
  for (const Running& running : batch_) {
    work += running.prefill_left;
  }
  const int64_t steps =
      1 + work / std::max<int64_t>(1, settings_.prefill_chunk_tokens);
  const int64_t step = settings_.step_us + running() * settings_.decode_us;
  return settings_.slowness *
         (steps * step + work * settings_.prefill_token_us);
}

void FakeEngine::Expire(int64_t now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const int64_t id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    events_.push_back({id, EngineEventKind::kExpired});
    queue_.Remove(id);
    waiting_.erase(id);
  }
}

void FakeEngine::Admit(int64_t now) {
  while (running() < settings_.max_running) {
    const std::optional<int64_t> id = NextWaiting(now);
    if (!id) {
      return;
    }
    auto it = waiting_.find(*id);
    if (it == waiting_.end()) {
      continue;
    }
    Running running;
    running.request = std::move(it->second);
    deadlines_.erase({running.request.deadline_us, *id});
    waiting_.erase(it);
    const base::Tokens prompt = running.request.prompt_tokens;
    const base::Tokens cached = std::min(
        prompt - 1, CachedBlocks(running.request.blocks) * kTokensPerBlock);
    running.prefill_left = prompt - cached;
    cached_tokens_ += cached;
    prompt_tokens_ += prompt;
    batch_.push_back(std::move(running));
  }
}

std::optional<int64_t> FakeEngine::NextWaiting(int64_t now) {
  if (settings_.order != QueueOrder::kArrival) {
    return queue_.PopReady(base::Millis(now / kMicrosPerMilli));
  }
  if (arrivals_.empty()) {
    return std::nullopt;
  }
  const int64_t id = arrivals_.front();
  arrivals_.pop_front();
  return id;
}

base::Tokens FakeEngine::PlanPrefill() {
  std::vector<Running*> prefilling;
  for (Running& running : batch_) {
    if (running.prefill_left > 0) {
      prefilling.push_back(&running);
    }
  }
  if (settings_.order != QueueOrder::kArrival) {
    const bool preempts = settings_.preempts_prefill;
    auto rank = [preempts](const Running* running) {
      const int64_t priority = running->request.priority;
      return preempts ? priority - running->prefill_left / kTokensPerPoint
                      : priority;
    };
    std::stable_sort(
        prefilling.begin(), prefilling.end(),
        [&](const Running* a, const Running* b) { return rank(a) > rank(b); });
  }
  base::Tokens budget = settings_.prefill_chunk_tokens;
  for (Running* running : prefilling) {
    running->prefill_now = std::min(budget, running->prefill_left);
    budget -= running->prefill_now;
  }
  return settings_.prefill_chunk_tokens - budget;
}

void FakeEngine::Cache(const base::Digest& block) {
  auto known = cache_.find(block);
  if (known != cache_.end()) {
    cache_order_.splice(cache_order_.begin(), cache_order_, known->second);
    return;
  }
  cache_order_.push_front(block);
  cache_[block] = cache_order_.begin();
  if (cache_order_.size() > settings_.cache_blocks) {
    cache_.erase(cache_order_.back());
    cache_order_.pop_back();
  }
}

int64_t FakeEngine::CachedBlocks(const std::vector<base::Digest>& blocks) {
  int64_t count = 0;
  for (const base::Digest& block : blocks) {
    if (cache_.count(block) == 0) {
      break;
    }
    Cache(block);
    ++count;
  }
  return count;
}

}  // namespace godwit::experiments
