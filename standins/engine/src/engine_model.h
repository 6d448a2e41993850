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

// Model of continuous batching with a cache of prompt prefixes, as a state
// machine without a clock: the caller begins a step, waits for its duration and
// finishes it.
class EngineModel {
 public:
  struct Settings {
    size_t max_batch = 16;
    double prefill_ms_per_token = 0.2;
    double decode_ms = 8;
    // Added to a step for each request in the batch.
    double decode_ms_per_request = 0.2;
    // Capacity of the prefix cache, in blocks of kBlockTokens prompt tokens.
    size_t cache_blocks = 1024;
  };

  struct Job {
    // Unique among open jobs.
    int64_t number = 0;
    // Jobs of higher priority start first.
    int64_t priority = 0;
    std::vector<std::string> prompt;
    // Number of tokens that an earlier run has already produced.
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
  // Cancels a queued or running job. False if there is none of that number.
  bool Cancel(int64_t number);

  // Fills the batch from the queue. Returns the duration of the step in
  // milliseconds, or an empty value if the batch is empty. `started` is called
  // with the number of each job that starts.
  std::optional<double> BeginStep(const std::function<void(int64_t)>& started);

  // Produces a token for each job of the batch that is not `stalled`.
  std::vector<Token> FinishStep(const std::function<bool(int64_t)>& stalled);

  size_t running() const noexcept { return running_.size(); }
  size_t queued() const noexcept { return queue_.size(); }
  size_t cached_blocks() const noexcept { return cache_.size(); }
  const Counts& counts() const noexcept { return counts_; }

 private:
  // Number of prompt tokens that have to be computed; the others were cached.
  int64_t Prefill(const std::vector<std::string>& prompt);
  // Marks the block as most recently used, and caches it if necessary. True if
  // it was cached before.
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
