// Loans between routers, which keep the number of routers that write to the
// ledger small and let the others serve one that is partitioned from the KV.
#include <algorithm>
#include <utility>

#include "metered_state.h"

namespace godwit::ledger {
namespace {

using base::Tokens;

constexpr int64_t kPercent = 100;

}  // namespace

const Peer* MeteredBudgetManager::State::LenderOf(
    base::Millis now,
    const MeteredBudget& budget) const {
  const Shard& shard = ShardOfBudget(budget);
  for (const Peer& peer : shard.lenders) {
    if (peer.process == process_) {
      if (!IsKvUnavailable(now, shard)) {
        return nullptr;
      }
      continue;
    }
    const auto unresponsive = unresponsive_until_.find(peer.process);
    const auto refused = budget.refused_until.find(peer.process);
    const bool is_unresponsive =
        unresponsive != unresponsive_until_.end() && now < unresponsive->second;
    const bool has_refused =
        refused != budget.refused_until.end() && now < refused->second;
    if (!is_unresponsive && !has_refused) {
      return &peer;
    }
  }
  return nullptr;
}

Tokens MeteredBudgetManager::State::LoanTarget(
    base::Millis now,
    const MeteredBudget& budget) const {
  if (draining_ || budget.dropped || IsLender(ShardOfBudget(budget))) {
    return 0;
  }
  const Tokens target =
      std::min(budget.ReservedOver(now, policy_.loan_cover, policy_),
               budget.limit.limit / policy_.loan_divisor);
  // A loan below the size of a request serves none, and would be lost with the
  // router.
  return target < budget.mean_request ? 0 : target;
}

void MeteredBudgetManager::State::On(base::Millis now,
                                     const base::Endpoint& from,
                                     const LoanRequest& request) {
  MeteredBudget* const local = Find(request.budget);
  if (request.lender != self_) {
    SendHello(from);
    return;
  }
  if (local == nullptr) {
    return;
  }
  const auto used = loans_.ApplyReport(request);
  if (!used) {
    // The loan was removed while the borrower was out of the fleet. The
    // borrower keeps its tokens; without an answer it turns to other lenders.
    return;
  }
  if (used->tokens > 0) {
    local->Spend(now, *used);
  }
  if (request.wished == 0) {
    return;
  }
  if (!TryAnswer(now, {request, from, now})) {
    loans_.AddWaiting(request, from, now);
    Reply(from, request, LoanReply::State::kPending);
  }
}

// Lends what is requested, or refuses if the tokens can't become available in
// time. Returns false if they still may, so that the request has to wait.
bool MeteredBudgetManager::State::TryAnswer(
    base::Millis now,
    const LoanTracker::Waiting& waiting) {
  const LoanRequest& request = waiting.request;
  const MeteredBudget& local = *Find(request.budget);
  const Shard& shard = ShardOfBudget(local);
  const Tokens lent = loans_.Lent(request);
  const Tokens least = std::max<Tokens>(0, request.least - lent);
  const Tokens requested = std::max(least, request.wished - lent);
  if (requested == 0) {
    // The request was served before, and the reply was lost.
    Reply(waiting.from, request, LoanReply::State::kLent);
    return true;
  }
  const Tokens own = draining_ ? 0 : OwnAvailable(local);
  const bool is_too_large = least > 0 && IsTooLargeForRemaining(local, least);
  if (own >= least && own > 0 && !is_too_large) {
    // At most half of a holding is lent beyond the required minimum; the
    // remainder is kept for requests that can't be served without it.
    loans_.Lend(request, std::max(least, std::min(requested, own / 2)));
    Find(request.budget)->last_drawn_at = now;
    Reply(waiting.from, request, LoanReply::State::kLent);
    return true;
  }
  if (least == 0 && !draining_ && !local.dropped) {
    // Nobody waits for the tokens. A refusal would direct the next request that
    // somebody waits for to another lender, which would compete for the ledger.
    Reply(waiting.from, request, LoanReply::State::kLent);
    return true;
  }
  if (now < local.nothing_lent_until && least >= local.least_not_lent) {
    Reply(waiting.from, request, LoanReply::State::kNothingFree);
    return true;
  }
  const Budget* const stored = BudgetIn(shard.record(), request.budget);
  const bool is_fresh =
      !shard.earlier && shard.view.known() &&
      shard.view.confirmed_at() + policy_.max_record_age >= waiting.since;
  const bool is_free =
      stored == nullptr || Unallocated(local) + stored->free() >= least;
  const bool may_be_returned =
      loans_.Outstanding(request.budget) + local.ReservedOfGrant() >= least;
  const bool is_expired = now - waiting.since >= policy_.pending_timeout;
  const bool is_serving = least > 0 && !draining_ && !local.dropped;
  const bool nothing_free =
      is_too_large || (!is_free && (is_expired || !may_be_returned));
  if (is_serving && is_fresh && nothing_free) {
    // Smaller requests may still be served.
    MeteredBudget& budget = *Find(request.budget);
    budget.nothing_lent_until = now + policy_.nothing_free_backoff;
    budget.least_not_lent = least;
    Reply(waiting.from, request, LoanReply::State::kNothingFree);
    return true;
  }
  const bool may_become_available =
      is_serving && !is_too_large && !is_expired &&
      (Unallocated(local) >= least || shard.is_kv_answering);
  if (!may_become_available) {
    Reply(waiting.from, request, LoanReply::State::kRefused);
  }
  return !may_become_available;
}

void MeteredBudgetManager::State::Reply(const base::Endpoint& to,
                                        const LoanRequest& request,
                                        LoanReply::State state) {
  const MeteredBudget& budget = *Find(request.budget);
  const Tokens left = std::max<Tokens>(0, MaxRemaining(budget));
  outbox_.emplace_back(SendToPeer{
      to,
      LoanReply{self_, request.borrower, request.budget, loans_.Lent(request),
                state, left, Granted(budget), WallTime()}});
}

void MeteredBudgetManager::State::On(base::Millis now, const LoanReply& reply) {
  MeteredBudget* const local = Find(reply.budget);
  if (reply.borrower != self_ || local == nullptr ||
      local->borrowed.loans().count(reply.lender) == 0) {
    return;
  }
  local->borrowed.SetLent(reply.lender, reply.lent);
  reported_grants_[{reply.budget, reply.lender}] = {reply.granted, now};
  if (!local->loan_request ||
      local->loan_request->lender.incarnation != reply.lender) {
    return;
  }
  switch (reply.state) {
    case LoanReply::State::kLent:
      local->loan_request.reset();
      return;
    case LoanReply::State::kPending:
      local->loan_request->is_pending = true;
      return;
    case LoanReply::State::kNothingFree:
      local->nothing_free_until = now + policy_.nothing_free_backoff;
      local->reported_left = reply.left;
      local->loan_request.reset();
      return;
    case LoanReply::State::kRefused:
      local->refused_until[local->loan_request->lender.process] =
          now + policy_.refused_backoff;
      local->loan_request.reset();
      return;
  }
}

void MeteredBudgetManager::State::ProcessLoans(base::Millis now) {
  loans_.RemoveServed([this, now](const LoanTracker::Waiting& waiting) {
    return TryAnswer(now, waiting);
  });
  for (auto& [id, budget] : budgets_) {
    budget.borrower_need = loans_.MaxWaiting(id);
    if (now - budget.needed_at >= policy_.need_timeout) {
      budget.need = 0;
      budget.loan_need = 0;
    }
    ReturnSurplus(now, budget);
    CheckLoanRequest(now, budget);
    if (!budget.loan_request) {
      Borrow(now, budget);
    }
    ReportUsage(now, budget);
  }
}

void MeteredBudgetManager::State::ReturnSurplus(base::Millis now,
                                                MeteredBudget& budget) {
  const Tokens spare = budget.borrowed.free() - budget.reserved;
  const Tokens target = LoanTarget(now, budget);
  if (spare > 0 && spare * kPercent > target * policy_.surplus_percent &&
      !budget.loan_request && budget.loan_need == 0) {
    budget.borrowed.Return(spare - target);
  }
}

void MeteredBudgetManager::State::CheckLoanRequest(base::Millis now,
                                                   MeteredBudget& budget) {
  if (!budget.loan_request) {
    return;
  }
  const MeteredBudget::OpenLoanRequest request = *budget.loan_request;
  const base::Millis limit =
      request.is_pending ? policy_.pending_timeout : policy_.loan_timeout;
  if (now - request.first_sent_at >= limit) {
    if (!request.is_pending) {
      unresponsive_until_[request.lender.process] =
          now + policy_.unresponsive_backoff;
      outbox_.emplace_back(PeerUnresponsive{request.lender, budget.limit.budget,
                                            now - request.first_sent_at});
    }
    budget.refused_until[request.lender.process] =
        now + policy_.refused_backoff;
    budget.loan_request.reset();
    return;
  }
  if (!request.is_pending &&
      now - request.sent_at >= policy_.loan_resend_interval) {
    budget.loan_request->sent_at = now;
    SendLoanRequest(now, budget, request.lender, true);
  }
}

void MeteredBudgetManager::State::Borrow(base::Millis now,
                                         MeteredBudget& budget) {
  const bool is_waited_for = budget.loan_need > Available(budget);
  const Tokens target = LoanTarget(now, budget);
  const Tokens spare = budget.borrowed.free() - budget.reserved;
  const bool is_low =
      target > 0 && spare * kPercent < target * policy_.loan_refill_percent &&
      now >= budget.next_refill_at && now >= budget.nothing_free_until;
  if (draining_ || (!is_waited_for && !is_low)) {
    return;
  }
  const Peer* const lender = LenderOf(now, budget);
  if (lender == nullptr) {
    return;
  }
  budget.next_refill_at = now + policy_.refill_interval;
  budget.loan_request =
      MeteredBudget::OpenLoanRequest{*lender, now, now, false};
  SendLoanRequest(now, budget, *lender, true);
}

// Reports usage to a lender and, with `requests_tokens`, requests the missing
// tokens.
void MeteredBudgetManager::State::SendLoanRequest(base::Millis now,
                                                  MeteredBudget& budget,
                                                  const Peer& lender,
                                                  bool requests_tokens) {
  BorrowedLoans::Loan& loan = budget.borrowed.LoanOf(lender.incarnation);
  LoanRequest request;
  request.wall_time = WallTime();
  request.borrower = self_;
  request.lender = lender.incarnation;
  request.budget = budget.limit.budget;
  request.used = loan.used;
  request.unproven = loan.unproven;
  request.returned = loan.returned;
  if (requests_tokens) {
    const Tokens shortfall =
        std::max<Tokens>(0, budget.loan_need - Available(budget));
    const Tokens spare =
        std::max<Tokens>(0, budget.borrowed.free() - budget.reserved);
    const Tokens requested =
        std::max({shortfall, LoanTarget(now, budget) - spare, Tokens{1}});
    request.least = shortfall == 0 ? 0 : loan.lent + shortfall;
    request.wished = loan.lent + requested;
  }
  loan.reported = loan.used + loan.returned;
  loan.reported_returned = loan.returned;
  loan.reported_at = now;
  outbox_.emplace_back(SendToPeer{lender.address, std::move(request)});
}

void MeteredBudgetManager::State::ReportUsage(base::Millis now,
                                              MeteredBudget& budget) {
  for (const auto& [incarnation, loan] : budget.borrowed.loans()) {
    const base::Millis interval = loan.has_unreported_return()
                                      ? policy_.return_interval
                                      : policy_.report_interval;
    const bool is_due = draining_ || now - loan.reported_at >= interval;
    const Peer* const lender =
        loan.has_unreported_usage() && is_due ? PeerOf(incarnation) : nullptr;
    if (lender != nullptr) {
      SendLoanRequest(now, budget, *lender, false);
    }
  }
}

}  // namespace godwit::ledger
