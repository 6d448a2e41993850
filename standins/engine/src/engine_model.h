#ifndef ENGINE_MODEL_H_
#define ENGINE_MODEL_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace godwit::standin {

// Continuous batching with a cache of prompt prefixes, as a state machine
// without a clock: the caller begins a step, lets its span pass, and finishes
// it.
class EngineModel {
 public:
  struct Settings {
    size_t max_batch = 16;
    double prefill_ms_per_token = 0.2;
    double decode_ms = 8;
    // Added for each request in the batch.
    double decode_ms_per_request = 0.2;
    // Blocks of kBlockTokens prompt tokens that are kept.
    size_t cache_blocks = 1024;
  };

  struct Job {
    // Unique among open jobs.
    int64_t number = 0;
    // Higher goes first.
    int64_t priority = 0;
    std::vector<std::string> prompt;
    // Tokens that an earlier run produced.
    int64_t first_token = 0;
    // One past the last token to produce; above first_token.
    int64_t end_token = 0;
  };

  // A token of a job's answer.
  struct Token {
    int64_t job = 0;
    int64_t index = 0;
    bool last = false;
  };

  struct Counts {
    int64_t executions = 0;
    int64_t tokens = 0;
    int64_t prefill_tokens = 0;
    int64_t cached_tokens = 0;
  };

  static constexpr size_t kBlockTokens = 16;

  explicit EngineModel(const Settings& settings) : settings_(settings) {}

  void Submit(Job job);
  // False when the job is not open.
  bool Cancel(int64_t number);

  // Fills the batch from the queue. Milliseconds that the step takes; empty
  // when there is nothing to do. `started` receives the jobs that begin.
  std::optional<double> BeginStep(const std::function<void(int64_t)>& started);

  // A token for each job of the batch that is not `stalled`.
  std::vector<Token> FinishStep(const std::function<bool(int64_t)>& stalled);

  size_t running() const noexcept { return running_.size(); }
  size_t queued() const noexcept { return queue_.size(); }
  size_t cached_blocks() const noexcept { return cache_.size(); }
  const Counts& counts() const noexcept { return counts_; }

 private:
  // Prompt tokens that have to be computed; the rest was cached.
  int64_t Prefill(const std::vector<std::string>& prompt);
  // True when the block was cached. Caches it.
  bool TouchBlock(const std::string& block);

  Settings settings_;
  Counts counts_;
  std::list<Job> queue_;
  std::map<int64_t, Job> running_;
  // Most recently used first.
  std::list<std::string> recent_;
  std::map<std::string, std::list<std::string>::iterator> cache_;
};

}  // namespace godwit::standin

#endif  // ENGINE_MODEL_H_
