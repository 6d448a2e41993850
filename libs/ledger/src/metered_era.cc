// Eras of the KV: what routers know outlives a KV that returns from an older
// copy, in which their last writes are missing.
#include <algorithm>
#include <iterator>
#include <utility>

#include "ledger/shard.h"
#include "ledger_merge.h"
#include "metered_state.h"

namespace godwit::ledger {

using base::Tokens;

void MeteredBudgetManager::State::SetEra(base::Millis now, int64_t era) {
  if (era <= era_) {
    return;
  }
  ForgetOldReports(now);
  for (size_t i = 0; i < shards_.size(); ++i) {
    Shard& shard = shards_[i];
    std::optional<Earlier> earlier;
    if (shard.earlier || shard.view.known()) {
      earlier.emplace();
      for (const MeteredBudget* budget : shard.budgets) {
        earlier->granted[budget->limit.budget] = Granted(*budget);
      }
      earlier->record = shard.record();
      if (shard.earlier && shard.view.known()) {
        earlier->record = MergeRecords(earlier->record, shard.view.record());
      }
    }
    if (earlier) {
      RenumberOwnGrants(*earlier);
    }
    const LedgerRecord reported = ReportedGrants(i);
    if (!reported.budgets.empty()) {
      if (!earlier) {
        earlier.emplace();
      }
      earlier->record = MergeRecords(earlier->record, reported);
    }
    shard.is_merged = !earlier.has_value();
    shard.is_complete = false;
    shard.earlier = std::move(earlier);
    shard.view = View(ShardKey(static_cast<int>(i)));
    shard.retry_at = base::Millis();
    shard.last_write_at = base::Millis();
    shard.retired_since.clear();
    shard.closing.clear();
    shard.merging.clear();
  }
  layout_ = cas::KeyView<LedgerLayout, LayoutCodec>(layout_.key());
  layout_retry_at_ = base::Millis();
  promises_.SetEra(era);
  era_marker_.Begin(era);
  era_ = era;
  era_began_at_ = now;
  unmerged_peers_.clear();
  for (const auto& [process, known] : known_peers_) {
    RecordPeerEra(now, known.peer);
  }
  UpdateMergedEra();
}

// A write of the earlier era whose outcome is not known may be in what another
// router knows. This router keeps to the smallest amount from now on, so that
// this one comes last.
void MeteredBudgetManager::State::RenumberOwnGrants(Earlier& earlier) {
  for (const auto& [id, granted] : earlier.granted) {
    const auto budget = earlier.record.budgets.find(id);
    if (OwnGrant(earlier.record, id) == nullptr) {
      continue;
    }
    Grant& own = budget->second.grants.at(GrantOf(id));
    own.amount = std::max({granted, Allocated(*Find(id)), own.billed()});
    own.revision = ++last_grant_revision_;
  }
}

void MeteredBudgetManager::State::RecordPeerEra(base::Millis now,
                                                const Peer& peer) {
  if (peer.process == process_) {
    return;
  }
  if (peer.era >= era_) {
    unmerged_peers_.erase(peer.process);
  } else if (now - era_began_at_ < policy_.absent_peer_timeout) {
    unmerged_peers_.insert(peer.process);
  }
}

LedgerRecord MeteredBudgetManager::State::ReportedGrants(size_t shard) const {
  LedgerRecord record;
  for (const auto& [key, reported] : reported_grants_) {
    const auto& [budget, lender] = key;
    const MeteredBudget* const local = Find(budget);
    if (local == nullptr || local->shard != shard ||
        reported.bound.amount == 0) {
      continue;
    }
    Budget& into = record.budgets[budget];
    into.organisation = local->limit.organisation;
    Grant& grant =
        into.grants[base::GrantId(lender.value() + "/" + budget.value())];
    grant.holder = lender;
    grant.amount = reported.bound.amount;
    grant.revision = reported.bound.revision;
    grant.sequence = reported.bound.sequence;
    grant.agents[lender];
  }
  return record;
}

void MeteredBudgetManager::State::ForgetOldReports(base::Millis now) {
  for (auto entry = reported_grants_.begin();
       entry != reported_grants_.end();) {
    const bool is_old =
        now - entry->second.at >= policy_.reported_grant_retention;
    entry = is_old ? reported_grants_.erase(entry) : std::next(entry);
  }
}

std::optional<MeteredBudgetManager::Command>
MeteredBudgetManager::State::NextMergeCommand(base::Millis now, Shard& shard) {
  if (shard.is_merged || !era_marker_.exists()) {
    return std::nullopt;
  }
  LedgerRecord merged =
      MergeRecords(shard.view.record(), shard.earlier->record);
  if (merged == shard.view.record()) {
    shard.is_merged = true;
    UpdateMergedEra();
    return std::nullopt;
  }
  const bool has_grant =
      std::any_of(shard.earlier->granted.begin(), shard.earlier->granted.end(),
                  [](const auto& entry) { return entry.second > 0; });
  if (!has_grant && now - era_began_at_ < policy_.merge_delay) {
    return std::nullopt;
  }
  if (now < shard.last_write_at + policy_.min_write_interval) {
    return std::nullopt;
  }
  shard.last_write_at = now;
  shard.merging = MergedBudgets(shard, merged);
  platform::KvWrite write =
      shard.view.StartWrite(now, next_operation_++, std::move(merged));
  write.conditions = era_marker_.Conditions();
  return write;
}

std::vector<BudgetMerged> MeteredBudgetManager::State::MergedBudgets(
    const Shard& shard,
    const LedgerRecord& merged) const {
  const auto sums_in = [](const LedgerRecord& record,
                          const base::BudgetId& id) {
    const Budget* const budget = BudgetIn(record, id);
    return budget == nullptr ? BudgetSums() : BudgetSums::Of(*budget);
  };
  std::vector<BudgetMerged> changed;
  for (const auto& [id, budget] : merged.budgets) {
    const Budget* const stored = BudgetIn(shard.view.record(), id);
    if (stored == nullptr || *stored != budget) {
      changed.push_back({id, era_, sums_in(shard.view.record(), id),
                         sums_in(shard.earlier->record, id),
                         BudgetSums::Of(budget)});
    }
  }
  return changed;
}

void MeteredBudgetManager::State::CheckComplete(base::Millis now,
                                                Shard& shard) {
  if (shard.is_complete || !shard.is_merged || !era_marker_.exists()) {
    return;
  }
  const base::Millis age = now - era_began_at_;
  const bool all_merged =
      unmerged_peers_.empty() || age >= policy_.absent_peer_timeout;
  // A router that found nothing in the KV and knows nothing starts the ledger.
  const bool is_new = !shard.earlier && !shard.view.version().exists();
  shard.is_complete = shard.view.record().era == era_ || is_new ||
                      (all_merged && age >= policy_.era_settle_time);
  if (shard.is_complete) {
    shard.earlier.reset();
  }
}

bool MeteredBudgetManager::State::MayOpenSoon(base::Millis now,
                                              const Shard& shard) const {
  // A router that has just started knows nothing until its first reads end.
  const bool is_starting =
      !shard.earlier && now - era_began_at_ < policy_.normal_latency;
  return shard.is_complete || is_starting ||
         now - era_began_at_ + policy_.max_wait >= policy_.era_settle_time;
}

void MeteredBudgetManager::State::UpdateMergedEra() {
  const bool is_merged =
      std::all_of(shards_.begin(), shards_.end(),
                  [](const Shard& shard) { return shard.is_merged; });
  if (is_merged) {
    merged_era_ = era_;
  }
}

}  // namespace godwit::ledger
