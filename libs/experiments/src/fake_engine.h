#ifndef EXPERIMENTS_FAKE_ENGINE_H_
#define EXPERIMENTS_FAKE_ENGINE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/pending_queue.h"
#include "base/digest.h"
#include "base/ids.h"

namespace godwit::experiments {

// Order in which waiting requests are passed to the engine.
enum class QueueOrder {
  kArrival,
  // By priority with ageing.
  kPriority,
  // By priority with ageing; within a class, shorter expected prefill first.
  kShortestPrefill,
};

// Parameters of an engine; times in microseconds.
struct EngineSettings {
  int64_t max_running = 64;
  int64_t step_us = 8000;
  int64_t decode_us = 120;
  int64_t prefill_token_us = 20;
  int64_t prefill_chunk_tokens = 512;
  size_t cache_blocks = 4096;
  int64_t slowness = 1;
  QueueOrder order = QueueOrder::kArrival;
  // If true, the prefill of a step is ordered by priority minus the remaining
  // prefill, so that short prompts overtake a long one in progress; otherwise
  // by priority alone.
  bool preempts_prefill = false;
};

struct EngineRequest {
  int64_t id = 0;
  std::vector<base::Digest> blocks;
  base::Tokens prompt_tokens = 0;
  base::Tokens output_tokens = 0;
  int64_t priority = 0;
  // When the request is dropped from the queue, in microseconds.
  int64_t deadline_us = 0;
};

enum class EngineEventKind { kFirstToken, kEnded, kExpired };

struct EngineEvent {
  int64_t id = 0;
  EngineEventKind kind = EngineEventKind::kFirstToken;
};

// Simulates an engine with continuous batching, chunked prefill and a prompt
// prefix cache, and the queue of its agent. Times in microseconds.
class FakeEngine {
 public:
  explicit FakeEngine(const EngineSettings& settings);

  void Enqueue(int64_t now, EngineRequest request);
  // Starts a step; returns the time of its end, or empty if there is nothing to
  // do.
  std::optional<int64_t> StartStep(int64_t now);
  // Ends the step and returns its events, including expired requests.
  std::vector<EngineEvent> EndStep(int64_t now);

  int64_t running() const { return static_cast<int64_t>(batch_.size()); }
  int64_t queued() const { return static_cast<int64_t>(waiting_.size()); }
  // Time to the first token of a request without a cached prefix that arrives
  // now; exact except for later arrivals.
  int64_t ExactWait(base::Tokens prompt_tokens) const;

  base::Tokens cached_tokens() const { return cached_tokens_; }
  base::Tokens prompt_tokens() const { return prompt_tokens_; }

 private:
  struct Running {
    EngineRequest request;
    base::Tokens prefill_left = 0;
    base::Tokens prefill_now = 0;
    base::Tokens decoded = 0;
  };

  void Expire(int64_t now);
  void Admit(int64_t now);
  std::optional<int64_t> NextWaiting(int64_t now);
  base::Tokens PlanPrefill();
  void Cache(const base::Digest& block);
  int64_t CachedBlocks(const std::vector<base::Digest>& blocks);

  EngineSettings settings_;
  std::unordered_map<int64_t, EngineRequest> waiting_;
  // Deadline and id of each waiting request.
  std::set<std::pair<int64_t, int64_t>> deadlines_;
  std::deque<int64_t> arrivals_;
  admission::PendingQueue queue_;
  std::vector<Running> batch_;
  std::vector<EngineEvent> events_;
  std::list<base::Digest> cache_order_;
  std::unordered_map<base::Digest, std::list<base::Digest>::iterator> cache_;
  base::Tokens cached_tokens_ = 0;
  base::Tokens prompt_tokens_ = 0;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_FAKE_ENGINE_H_
