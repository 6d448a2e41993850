#include "cas_queue.h"

#include <utility>

#include "ledger/shard.h"

namespace godwit::experiments {
namespace {

// Pause after an operation that failed or got no usable answer.
constexpr base::Millis kRetryPause(100);

}  // namespace

void CasQueue::Add(base::Millis now,
                   const base::BudgetId& budget,
                   Edit edit,
                   Finished finished) {
  const int shard = ledger::ShardOf(budget, shard_count_);
  Queue& queue =
      queues_.try_emplace(shard, ledger::ShardKey(shard)).first->second;
  Job job{std::move(edit), std::move(finished), now + timeout_};
  if (job.finished) {
    queue.jobs.push_back(std::move(job));
    return;
  }
  // No request waits for these edits, but they free budget: they go to the
  // front, behind the edit in flight.
  const auto position = queue.jobs.begin() + (queue.writing ? 1 : 0);
  queue.jobs.insert(position, std::move(job));
}

const ledger::Budget* CasQueue::last_read(const base::BudgetId& budget) const {
  const auto queue = queues_.find(ledger::ShardOf(budget, shard_count_));
  if (queue == queues_.end()) {
    return nullptr;
  }
  const auto& budgets = queue->second.view.record().budgets;
  const auto found = budgets.find(budget);
  return found == budgets.end() ? nullptr : &found->second;
}

void CasQueue::Tick(base::Millis now, SpenderOutput& out) {
  for (auto& [shard, queue] : queues_) {
    DropExpired(now, queue);
    ProcessJobs(now, queue, out);
  }
}

void CasQueue::DropExpired(base::Millis now, Queue& queue) {
  // The first job may be in flight; it ends with its operation.
  const size_t first = queue.view.busy_since() ? 1 : 0;
  for (size_t i = first; i < queue.jobs.size();) {
    if (!queue.jobs[i].finished || now < queue.jobs[i].deadline) {
      ++i;
      continue;
    }
    const Finished finished = std::move(queue.jobs[i].finished);
    queue.jobs.erase(queue.jobs.begin() + static_cast<std::ptrdiff_t>(i));
    finished(false);
  }
}

void CasQueue::OnProgress(base::Millis now,
                          Queue& queue,
                          cas::Progress progress,
                          SpenderOutput& out) {
  const bool stored = queue.writing && progress == cas::Progress::kAdopted;
  queue.has_read = !queue.writing && progress == cas::Progress::kAdopted;
  queue.writing = false;
  if (progress == cas::Progress::kFailed) {
    queue.retry_at = now + kRetryPause;
  }
  if (stored) {
    const Finished finished = std::move(queue.jobs.front().finished);
    queue.jobs.pop_front();
    if (finished) {
      finished(true);
    }
  }
  DropExpired(now, queue);
  ProcessJobs(now, queue, out);
}

void CasQueue::ProcessJobs(base::Millis now, Queue& queue, SpenderOutput& out) {
  while (!queue.jobs.empty() && !queue.view.busy_since() &&
         now >= queue.retry_at) {
    if (!queue.has_read) {
      out.reads.push_back(queue.view.StartRead(now, next_operation_++));
      return;
    }
    ledger::LedgerEdit edit(queue.view.record());
    if (queue.jobs.front().edit(edit)) {
      queue.writing = true;
      const int64_t operation = next_operation_++;
      out.writes.push_back(
          queue.view.StartWrite(now, operation, edit.record()));
      return;
    }
    const Finished finished = std::move(queue.jobs.front().finished);
    queue.jobs.pop_front();
    if (finished) {
      finished(false);
    }
  }
}

}  // namespace godwit::experiments
