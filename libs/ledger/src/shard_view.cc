#include "shard_view.h"

#include <algorithm>
#include <utility>

#include "ledger/ledger_codec.h"
#include "platform/write_outcome.h"

namespace godwit::ledger {
namespace {

using platform::WriteOutcome;

const Grant* FindActive(const LedgerRecord& record,
                        const base::BudgetId& budget,
                        const base::GrantId& grant) {
  const auto owner = record.budgets.find(budget);
  if (owner == record.budgets.end()) {
    return nullptr;
  }
  const auto found = owner->second.grants.find(grant);
  if (found == owner->second.grants.end() ||
      found->second.state != GrantState::kActive) {
    return nullptr;
  }
  return &found->second;
}

base::Tokens AmountIn(const LedgerRecord& record,
                      const base::BudgetId& budget,
                      const base::GrantId& grant) {
  const Grant* const found = FindActive(record, budget, grant);
  return found == nullptr ? 0 : found->amount;
}

bool ListedIn(const LedgerRecord& record,
              const base::BudgetId& budget,
              const base::GrantId& grant,
              const base::Incarnation& agent) {
  const Grant* const found = FindActive(record, budget, grant);
  return found != nullptr && found->agents.count(agent) != 0;
}

}  // namespace

std::optional<base::Millis> ShardView::busy_since() const noexcept {
  if (!operation_) {
    return std::nullopt;
  }
  return operation_->started_at;
}

bool ShardView::has_open_writes() const noexcept {
  return !open_writes_.empty();
}

const Budget* ShardView::budget(const base::BudgetId& id) const {
  const auto found = record_.budgets.find(id);
  return found == record_.budgets.end() ? nullptr : &found->second;
}

base::Tokens ShardView::ceiling(const base::BudgetId& budget,
                                const base::GrantId& grant) const {
  base::Tokens least = AmountIn(record_, budget, grant);
  for (const OpenWrite& write : open_writes_) {
    least = std::min(least, AmountIn(write.proposal, budget, grant));
  }
  return least;
}

bool ShardView::lists(const base::BudgetId& budget,
                      const base::GrantId& grant,
                      const base::Incarnation& agent) const {
  return ListedIn(record_, budget, grant, agent) &&
         std::all_of(open_writes_.begin(), open_writes_.end(),
                     [&](const OpenWrite& write) {
                       return ListedIn(write.proposal, budget, grant, agent);
                     });
}

platform::KvRead ShardView::StartRead(base::Millis now, int64_t operation) {
  operation_ = Operation{operation, now, false};
  return {operation, key_};
}

platform::KvWrite ShardView::StartWrite(base::Millis now,
                                        int64_t operation,
                                        LedgerRecord proposal) {
  operation_ = Operation{operation, now, true};
  platform::KvWrite write;
  write.operation = operation;
  write.key = key_;
  write.expected_version = version_;
  write.value = LedgerCodec().Encode(proposal);
  open_writes_.push_back({version_, std::move(proposal)});
  return write;
}

bool ShardView::Answers(int64_t operation, bool is_write) const {
  return operation_ && operation_->number == operation &&
         operation_->is_write == is_write;
}

void ShardView::Adopt(int64_t version,
                      LedgerRecord record,
                      base::Millis proven_at) {
  known_ = true;
  outdated_ = false;
  corrupt_ = false;
  version_ = version;
  record_ = std::move(record);
  proven_at_ = proven_at;
  // A write that expected an older version took effect before this version or
  // never will.
  open_writes_.erase(std::remove_if(open_writes_.begin(), open_writes_.end(),
                                    [version](const OpenWrite& write) {
                                      return write.expected_version < version;
                                    }),
                     open_writes_.end());
}

ShardView::Progress ShardView::Finish(const platform::KvReadDone& done) {
  if (!Answers(done.operation, false)) {
    return Progress::kForeign;
  }
  const base::Millis started_at = operation_->started_at;
  operation_.reset();
  if (!done.available || done.version < version_) {
    return Progress::kFailed;
  }
  LedgerCodec codec;
  auto record = codec.Decode(done.value);
  if (!record) {
    corrupt_ = true;
    return Progress::kFailed;
  }
  Adopt(done.version, std::move(*record), started_at);
  return Progress::kAdopted;
}

ShardView::Progress ShardView::Finish(const platform::KvWriteDone& done) {
  if (!Answers(done.operation, true)) {
    return Progress::kForeign;
  }
  const base::Millis started_at = operation_->started_at;
  operation_.reset();
  switch (done.outcome) {
    case WriteOutcome::kWon: {
      LedgerRecord written = std::move(open_writes_.back().proposal);
      Adopt(done.version, std::move(written), started_at);
      return Progress::kAdopted;
    }
    case WriteOutcome::kLost:
      open_writes_.pop_back();
      outdated_ = true;
      return Progress::kLost;
    case WriteOutcome::kNotSent:
      open_writes_.pop_back();
      return Progress::kFailed;
    case WriteOutcome::kUnknown:
      outdated_ = true;
      return Progress::kFailed;
  }
  return Progress::kFailed;
}

void ShardView::GiveUp() {
  outdated_ = outdated_ || operation_->is_write;
  operation_.reset();
}

}  // namespace godwit::ledger
