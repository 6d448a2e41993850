#ifndef EXPERIMENTS_CAS_QUEUE_H_
#define EXPERIMENTS_CAS_QUEUE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "base/ids.h"
#include "base/millis.h"
#include "cas/key_view.h"
#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"
#include "spender_output.h"

namespace godwit::experiments {

// Queues edits of the ledger. Each edit does its own read and compare-and-swap,
// one at a time for each key, as the naive strategies do.
class CasQueue {
 public:
  // Applies the edit; returns false if the record does not allow it. Called
  // again after a lost compare-and-swap, also if an earlier write took effect
  // and its answer was lost.
  using Edit = std::function<bool(ledger::LedgerEdit&)>;
  // Called once with whether the edit was stored.
  using Finished = std::function<void(bool stored)>;

  CasQueue(int shard_count, base::Millis timeout)
      : shard_count_(shard_count), timeout_(timeout) {}

  // Adds an edit that is abandoned after the timeout. An edit without
  // `finished` is retried until it is stored.
  void Add(base::Millis now,
           const base::BudgetId& budget,
           Edit edit,
           Finished finished);
  void Tick(base::Millis now, SpenderOutput& out);
  template <typename Done>
  void Finish(base::Millis now, const Done& done, SpenderOutput& out) {
    for (auto& [shard, queue] : queues_) {
      const cas::Progress progress = queue.view.Finish(done);
      if (progress == cas::Progress::kUnrelated) {
        continue;
      }
      OnProgress(now, queue, progress, out);
      return;
    }
  }

  // The budget as of the last read; null before the first read.
  const ledger::Budget* last_read(const base::BudgetId& budget) const;

 private:
  struct Job {
    Edit edit;
    Finished finished;
    base::Millis deadline;
  };
  struct Queue {
    explicit Queue(std::string key) : view(std::move(key)) {}

    cas::KeyView<ledger::LedgerRecord, ledger::LedgerCodec> view;
    std::deque<Job> jobs;
    // True while the write of the first job is in flight.
    bool writing = false;
    // True if the view is recent enough for the first job.
    bool has_read = false;
    base::Millis retry_at;
  };

  void OnProgress(base::Millis now,
                  Queue& queue,
                  cas::Progress progress,
                  SpenderOutput& out);
  void DropExpired(base::Millis now, Queue& queue);
  void ProcessJobs(base::Millis now, Queue& queue, SpenderOutput& out);

  int shard_count_;
  base::Millis timeout_;
  int64_t next_operation_ = 1;
  std::map<int, Queue> queues_;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_CAS_QUEUE_H_
