// Tokens that routers lend each other, so that few of them write to the ledger
// and one that is cut off from the KV is served by the others.
#include <algorithm>
#include <set>
#include <utility>

#include "base/digest.h"
#include "metered_state.h"

namespace godwit::ledger {
namespace {

using base::Tokens;

constexpr int64_t kPercent = 100;

}  // namespace

void MeteredHolder::State::SetPeers(base::Millis now,
                                    const std::vector<Peer>& listed) {
  std::vector<base::Endpoint> discovered;
  for (const Peer& peer : listed) {
    const auto [entry, is_new] = known_peers_.try_emplace(peer.process);
    KnownPeer& known = entry->second;
    const bool told_since =
        known.hello_at && now - *known.hello_at < policy_.hello_time;
    known.seen_at = now;
    if (is_new || !told_since) {
      known.peer = peer;
    }
    if (is_new && peer.process != process_) {
      discovered.push_back(peer.address);
    }
  }
  peers_.clear();
  std::set<base::Incarnation> lives;
  for (auto entry = known_peers_.begin(); entry != known_peers_.end();) {
    if (now - entry->second.seen_at >= policy_.missing_time) {
      entry = known_peers_.erase(entry);
      continue;
    }
    peers_.push_back(entry->second.peer);
    lives.insert(entry->second.peer.incarnation);
    ++entry;
  }
  book_.Keep(lives);
  RankLenders();
  if (IsAnyLender()) {
    // Their lists may lack this life for some seconds.
    for (const base::Endpoint& address : discovered) {
      SayHello(address);
    }
  }
}

bool MeteredHolder::State::IsAnyLender() const {
  return std::any_of(
      shards_.begin(), shards_.end(), [this](const Shard& shard) {
        return std::any_of(
            shard.lenders.begin(), shard.lenders.end(),
            [this](const Peer& peer) { return peer.process == process_; });
      });
}

void MeteredHolder::State::RankLenders() {
  const size_t count = std::min(peers_.size(), policy_.most_lenders);
  std::vector<std::pair<uint64_t, const Peer*>> ranked(peers_.size());
  for (size_t i = 0; i < shards_.size(); ++i) {
    const std::string key = std::to_string(i) + "/";
    std::transform(
        peers_.begin(), peers_.end(), ranked.begin(), [&key](const Peer& peer) {
          return std::make_pair(
              base::Digest::Of(key + peer.process.value()).low(), &peer);
        });
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<int64_t>(count),
        ranked.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    shards_[i].lenders.clear();
    for (size_t j = 0; j < count; ++j) {
      shards_[i].lenders.push_back(*ranked[j].second);
    }
  }
}

void MeteredHolder::State::SayHello(const base::Endpoint& to) {
  const Peer* const self = PeerOf(self_);
  if (self != nullptr) {
    outbox_.emplace_back(SendToPeer{to, PeerHello{*self}});
  }
}

void MeteredHolder::State::On(base::Millis now, const PeerHello& hello) {
  const base::ProcessId& process = hello.peer.process;
  if (process == process_ || peers_.empty()) {
    return;
  }
  known_peers_[process] = {hello.peer, now, now};
  silent_until_.erase(process);
  const auto found = std::find_if(
      peers_.begin(), peers_.end(),
      [&process](const Peer& peer) { return peer.process == process; });
  if (found == peers_.end()) {
    peers_.push_back(hello.peer);
  } else if (*found != hello.peer) {
    *found = hello.peer;
  } else {
    return;
  }
  RankLenders();
}

bool MeteredHolder::State::IsLender(const Shard& shard) const {
  return shard.lenders.empty() || shard.lenders.front().process == process_;
}

const Peer* MeteredHolder::State::PeerOf(
    const base::Incarnation& incarnation) const {
  const auto found = std::find_if(
      peers_.begin(), peers_.end(),
      [&](const Peer& peer) { return peer.incarnation == incarnation; });
  return found == peers_.end() ? nullptr : &*found;
}

const Peer* MeteredHolder::State::LenderOf(base::Millis now,
                                           const MeteredBudget& budget) const {
  const Shard& shard = ShardOfBudget(budget);
  for (const Peer& peer : shard.lenders) {
    if (peer.process == process_) {
      if (!IsAway(now, shard)) {
        return nullptr;
      }
      continue;
    }
    const auto silent = silent_until_.find(peer.process);
    const auto refused = budget.refused_until.find(peer.process);
    const bool is_silent =
        silent != silent_until_.end() && now < silent->second;
    const bool has_refused =
        refused != budget.refused_until.end() && now < refused->second;
    if (!is_silent && !has_refused) {
      return &peer;
    }
  }
  return nullptr;
}

Tokens MeteredHolder::State::LoanTarget(base::Millis now,
                                        const MeteredBudget& budget) const {
  if (draining_ || budget.dropped || IsLender(ShardOfBudget(budget))) {
    return 0;
  }
  return std::min(budget.UseOver(now, policy_.loan_cover, policy_),
                  budget.limit.limit / policy_.loan_part);
}

void MeteredHolder::State::On(base::Millis now,
                              const base::Endpoint& from,
                              const LoanAsk& ask) {
  MeteredBudget* const local = Find(ask.budget);
  if (ask.lender != self_) {
    SayHello(from);
    return;
  }
  if (local == nullptr) {
    return;
  }
  const auto used = book_.Report(ask);
  if (!used) {
    // Its loan was forgotten while it was out of the fleet. What it has stays
    // its own; without an answer it asks others.
    return;
  }
  if (used->tokens > 0) {
    local->Spend(now, *used);
  }
  if (ask.wished == 0) {
    return;
  }
  if (!Answer(now, {ask, from, now})) {
    book_.Wait(ask, from, now);
    Reply(from, ask, LoanReply::State::kPending);
  }
}

// Lends what is asked for, or refuses when there is no prospect of it. False
// while it may come free.
bool MeteredHolder::State::Answer(base::Millis now,
                                  const LoanBook::Waiting& waiting) {
  const LoanAsk& ask = waiting.ask;
  const MeteredBudget& local = *Find(ask.budget);
  const Shard& shard = ShardOfBudget(local);
  const Tokens lent = book_.Lent(ask);
  const Tokens least = std::max<Tokens>(0, ask.least - lent);
  const Tokens wished = std::max(least, ask.wished - lent);
  if (wished == 0) {
    // It was lent before; the reply went missing.
    Reply(waiting.from, ask, LoanReply::State::kLent);
    return true;
  }
  const Tokens own = draining_ ? 0 : OwnAvailable(local);
  const bool is_too_large = least > 0 && IsTooLargeForTheRest(local, least);
  if (own >= least && own > 0 && !is_too_large) {
    // The last of a holding is kept for those that have to wait without it.
    book_.Lend(ask, std::max(least, std::min(wished, own / 2)));
    Reply(waiting.from, ask, LoanReply::State::kLent);
    return true;
  }
  const Budget* const stored = BudgetIn(shard.view.record(), ask.budget);
  const bool is_fresh =
      shard.view.known() && now - shard.view.confirmed_at() <= policy_.fresh;
  const bool is_free =
      Held(local) >= least || stored == nullptr || stored->free() > 0;
  const bool may_come_back =
      book_.Outstanding(ask.budget) + local.ReservedOfGrant() >= least;
  const bool is_over = now - waiting.since >= policy_.pending_limit;
  const bool is_serving = least > 0 && !draining_ && !local.dropped;
  const bool nothing_free =
      is_too_large || (!is_free && (is_over || !may_come_back));
  if (is_serving && is_fresh && nothing_free) {
    Reply(waiting.from, ask, LoanReply::State::kNothingFree);
    return true;
  }
  const bool has_prospect = is_serving && !is_too_large && !is_over &&
                            (Held(local) >= least || shard.answers);
  if (!has_prospect) {
    Reply(waiting.from, ask, LoanReply::State::kRefused);
  }
  return !has_prospect;
}

void MeteredHolder::State::Reply(const base::Endpoint& to,
                                 const LoanAsk& ask,
                                 LoanReply::State state) {
  const Tokens left = std::max<Tokens>(0, MostLeft(*Find(ask.budget)));
  outbox_.emplace_back(SendToPeer{to, LoanReply{self_, ask.borrower, ask.budget,
                                                book_.Lent(ask), state, left}});
}

void MeteredHolder::State::On(base::Millis now, const LoanReply& reply) {
  MeteredBudget* const local = Find(reply.budget);
  if (reply.borrower != self_ || local == nullptr ||
      local->borrowed.loans().count(reply.lender) == 0) {
    return;
  }
  local->borrowed.Lent(reply.lender, reply.lent);
  if (!local->ask || local->ask->lender.incarnation != reply.lender) {
    return;
  }
  switch (reply.state) {
    case LoanReply::State::kLent:
      local->ask.reset();
      return;
    case LoanReply::State::kPending:
      local->ask->is_pending = true;
      return;
    case LoanReply::State::kNothingFree:
      local->nothing_free_until = now + policy_.refused_pause;
      local->told_left = reply.left;
      local->ask.reset();
      return;
    case LoanReply::State::kRefused:
      local->refused_until[local->ask->lender.process] =
          now + policy_.refused_pause;
      local->ask.reset();
      return;
  }
}

void MeteredHolder::State::PumpLoans(base::Millis now) {
  book_.Serve([this, now](const LoanBook::Waiting& waiting) {
    return Answer(now, waiting);
  });
  for (auto& [id, budget] : budgets_) {
    budget.asked = book_.Awaited(id);
    ReturnSurplus(now, budget);
    WatchAsk(now, budget);
    if (!budget.ask) {
      Borrow(now, budget);
    }
    Report(now, budget);
  }
}

void MeteredHolder::State::ReturnSurplus(base::Millis now,
                                         MeteredBudget& budget) {
  const Tokens spare = budget.borrowed.free() - budget.reserved;
  const Tokens target = LoanTarget(now, budget);
  if (spare > 0 && spare * kPercent > target * policy_.surplus_percent &&
      !budget.ask && budget.loan_need == 0) {
    budget.borrowed.Return(spare - target);
  }
}

void MeteredHolder::State::WatchAsk(base::Millis now, MeteredBudget& budget) {
  if (!budget.ask) {
    return;
  }
  const MeteredBudget::OpenAsk ask = *budget.ask;
  const base::Millis limit =
      ask.is_pending ? policy_.pending_limit : policy_.ask_limit;
  if (now - ask.first_at >= limit) {
    if (!ask.is_pending) {
      silent_until_[ask.lender.process] = now + policy_.silent_pause;
      outbox_.emplace_back(
          PeerSilent{ask.lender, budget.limit.budget, now - ask.first_at});
    }
    budget.refused_until[ask.lender.process] = now + policy_.refused_pause;
    budget.ask.reset();
    return;
  }
  if (!ask.is_pending && now - ask.sent_at >= policy_.ask_again) {
    budget.ask->sent_at = now;
    SendAsk(now, budget, ask.lender, true);
  }
}

void MeteredHolder::State::Borrow(base::Millis now, MeteredBudget& budget) {
  const bool is_waited_for = budget.loan_need > Available(budget);
  const Tokens target = LoanTarget(now, budget);
  const Tokens spare = budget.borrowed.free() - budget.reserved;
  const bool is_low =
      target > 0 && spare * kPercent < target * policy_.loan_percent &&
      now >= budget.refill_at && now >= budget.nothing_free_until;
  if (draining_ || (!is_waited_for && !is_low)) {
    return;
  }
  const Peer* const lender = LenderOf(now, budget);
  if (lender == nullptr) {
    return;
  }
  budget.refill_at = now + policy_.refill_spacing;
  budget.ask = MeteredBudget::OpenAsk{*lender, now, now, false};
  SendAsk(now, budget, *lender, true);
}

// Tells a lender what was used; with `asks`, asks for what lacks.
void MeteredHolder::State::SendAsk(base::Millis now,
                                   MeteredBudget& budget,
                                   const Peer& lender,
                                   bool asks) {
  Borrowed::Loan& loan = budget.borrowed.LoanOf(lender.incarnation);
  LoanAsk ask;
  ask.borrower = self_;
  ask.lender = lender.incarnation;
  ask.budget = budget.limit.budget;
  ask.used = loan.used;
  ask.unproven = loan.unproven;
  ask.returned = loan.returned;
  if (asks) {
    const Tokens lacking =
        std::max<Tokens>(0, budget.loan_need - Available(budget));
    const Tokens spare =
        std::max<Tokens>(0, budget.borrowed.free() - budget.reserved);
    const Tokens wished =
        std::max({lacking, LoanTarget(now, budget) - spare, Tokens{1}});
    ask.least = lacking == 0 ? 0 : loan.lent + lacking;
    ask.wished = loan.lent + wished;
  }
  loan.told = loan.used + loan.returned;
  loan.told_at = now;
  outbox_.emplace_back(SendToPeer{lender.address, std::move(ask)});
}

void MeteredHolder::State::Report(base::Millis now, MeteredBudget& budget) {
  for (const auto& [incarnation, loan] : budget.borrowed.loans()) {
    const bool is_due =
        draining_ || now - loan.told_at >= policy_.report_spacing;
    const Peer* const lender =
        loan.has_news() && is_due ? PeerOf(incarnation) : nullptr;
    if (lender != nullptr) {
      SendAsk(now, budget, *lender, false);
    }
  }
}

}  // namespace godwit::ledger
