// Loans between routers, which keep the number of routers that write to the
// ledger small and let the others serve one that is partitioned from the KV.
#include <algorithm>
#include <utility>

#include "metered_state.h"

namespace godwit::ledger {
namespace {

using base::Tokens;

constexpr int64_t kPercent = 100;
// A lender whose operation on the KV has had no answer for longer than this
// refuses loans that it can't serve from its grant. It leaves the next lender
// more than half of MeteredPolicy::max_wait.
constexpr base::Millis kMaxLoanLatency(150);
// A pending request is resent after this time, since the final reply may have
// been lost.
constexpr base::Millis kPendingResendInterval(100);

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
  if (target >= budget.mean_request) {
    return target;
  }
  if (target == 0 || IsScarce(now, budget)) {
    return 0;
  }
  // A loan below the size of a request serves none, and would be lost with the
  // router. Some requests for each router are held only of a large budget.
  const auto routers = std::max<Tokens>(1, static_cast<Tokens>(peers_.size()));
  const Tokens requests =
      std::min(policy_.loan_requests,
               budget.limit.limit / (policy_.small_loan_divisor * routers *
                                     std::max<Tokens>(1, budget.mean_request)));
  return requests * budget.mean_request;
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
  const auto report = loans_.ApplyReport(request);
  if (!report) {
    // The loan was removed while the borrower was out of the fleet. The
    // borrower keeps its tokens; without an answer it turns to other lenders.
    return;
  }
  if (report->used.tokens > 0) {
    local->Spend(now, report->used);
  }
  if (report->returned > 0) {
    local->returns.Add(now, report->returned);
  }
  if (request.wished == 0) {
    return;
  }
  const LoanTracker::Waiting waiting{
      request, from, now, {request.urgency, now - request.waited}};
  if (!TryAnswer(now, waiting)) {
    loans_.AddWaiting(waiting);
    Reply(from, *local, request.borrower, request.number,
          LoanReply::State::kPending, base::Millis());
  }
}

Tokens MeteredBudgetManager::State::LoanFor(const MeteredBudget& budget,
                                            const LoanTracker::Waiting& waiting,
                                            Tokens least,
                                            Tokens requested) const {
  const Tokens own = draining_ ? 0 : OwnAvailable(budget);
  if (!budget.is_scarce) {
    // At most half of a holding is lent beyond the required minimum; the
    // remainder is kept for requests that can't be served without it.
    return own >= least ? std::max(least, std::min(requested, own / 2)) : 0;
  }
  if (own < least + AheadOf(budget, waiting.rank)) {
    return 0;
  }
  const Tokens all_waiting =
      budget.waiting.Total() + loans_.TotalWaiting(budget.limit.budget);
  return least > 0 && own >= requested + all_waiting ? requested : least;
}

// Lends what is requested, or refuses if the tokens can't become available in
// time. Returns false if they still may, so that the request has to wait.
bool MeteredBudgetManager::State::TryAnswer(
    base::Millis now,
    const LoanTracker::Waiting& waiting) {
  const LoanRequest& request = waiting.request;
  MeteredBudget& local = *Find(request.budget);
  const Shard& shard = ShardOfBudget(local);
  const auto reply = [&](LoanReply::State state,
                         base::Millis retry_after = base::Millis()) {
    Reply(waiting.from, local, request.borrower, request.number, state,
          retry_after);
    return true;
  };
  const Tokens lent = loans_.Lent(request);
  const Tokens least = std::max<Tokens>(0, request.least - lent);
  const Tokens requested = std::max(least, request.wished - lent);
  if (requested == 0) {
    // The request was served before, and the reply was lost.
    return reply(LoanReply::State::kLent);
  }
  const Tokens loan = LoanFor(local, waiting, least, requested);
  if (loan > 0) {
    loans_.Lend(request, loan);
    local.last_drawn_at = now;
    return reply(LoanReply::State::kLent);
  }
  // A lender that can neither draw nor renew its promise directs the borrower
  // to the next one, which draws for itself.
  const bool can_draw = !IsKvUnanswered(now, shard, kMaxLoanLatency);
  const bool is_serving = !draining_ && !local.dropped && can_draw;
  if (least == 0 && is_serving) {
    // Nobody waits for the tokens. A refusal would direct the next request that
    // somebody waits for to another lender, which would compete for the ledger.
    return reply(LoanReply::State::kLent);
  }
  const Tokens needed =
      least + (local.is_scarce ? AheadOf(local, waiting.rank) : 0);
  const base::Millis waited =
      now - (local.is_scarce ? waiting.rank.since : waiting.since);
  if (Pool(local) < needed) {
    MarkUncovered(now, local, needed);
  }
  if (is_serving && IsRecordFresh(local, waiting.since) &&
      !MayCome(now, local, needed, waited)) {
    return reply(LoanReply::State::kNothingFree,
                 RetryAfter(now, local, needed));
  }
  if (!is_serving || waited >= policy_.pending_timeout) {
    return reply(LoanReply::State::kRefused);
  }
  return false;
}

void MeteredBudgetManager::State::Reply(const base::Endpoint& to,
                                        const MeteredBudget& budget,
                                        const base::Incarnation& borrower,
                                        int64_t number,
                                        LoanReply::State state,
                                        base::Millis retry_after) {
  const base::BudgetId& id = budget.limit.budget;
  const Tokens left = std::max<Tokens>(0, MaxRemaining(budget));
  const GrantBound bound = BoundOf(budget);
  outbox_.emplace_back(SendToPeer{
      to, LoanReply{self_, borrower, id, loans_.Lent(id, borrower), state, left,
                    bound.amount, WallTime(), budget.is_scarce, retry_after,
                    number, bound.revision, bound.sequence}});
}

void MeteredBudgetManager::State::On(base::Millis now, const LoanReply& reply) {
  MeteredBudget* const local = Find(reply.budget);
  if (reply.borrower != self_ || local == nullptr) {
    return;
  }
  reported_grants_[{reply.budget, reply.lender}] = {
      {reply.granted, reply.granted_revision, reply.granted_sequence}, now};
  if (local->borrowed.loans().count(reply.lender) == 0) {
    return;
  }
  local->borrowed.SetLent(reply.lender, reply.lent);
  RecordScarcity(now, *local, reply);
  if (!local->loan_request ||
      local->loan_request->lender().incarnation != reply.lender) {
    return;
  }
  const OpenLoanRequest::Send* send = local->loan_request->Find(reply.number);
  if (send == nullptr) {
    // Answers an earlier request, whose amount and limit are not those of this
    // one.
    return;
  }
  switch (reply.state) {
    case LoanReply::State::kLent:
      local->loan_request.reset();
      return;
    case LoanReply::State::kPending:
      local->loan_request->SetPending();
      return;
    case LoanReply::State::kNothingFree:
      RecordRefusal(now, *local, *send, reply);
      if (!local->loan_request->IsRefusedWith(*send)) {
        return;
      }
      local->loan_request.reset();
      // Requests that were not refused repeat their reservations.
      local->loan_need = 0;
      return;
    case LoanReply::State::kRefused:
      local->refused_until[local->loan_request->lender().process] =
          now + policy_.refused_backoff;
      local->lender_refused_at = now;
      local->loan_request.reset();
      return;
  }
}

void MeteredBudgetManager::State::ProcessLoans(base::Millis now) {
  for (auto& [id, budget] : budgets_) {
    UpdateScarcity(now, budget);
  }
  loans_.RemoveServed([this, now](const LoanTracker::Waiting& waiting) {
    return TryAnswer(now, waiting);
  });
  for (auto& [id, budget] : budgets_) {
    budget.borrower_need = BorrowerNeed(budget);
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
  if (IsScarce(now, budget)) {
    budget.borrowed.Return(std::max<Tokens>(0, spare - budget.waiting.Total()));
    return;
  }
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
  const OpenLoanRequest& request = *budget.loan_request;
  const base::Millis limit =
      request.is_pending() ? policy_.pending_timeout : policy_.loan_timeout;
  if (now - request.first_sent_at() >= limit) {
    if (!request.is_pending()) {
      unresponsive_until_[request.lender().process] =
          now + policy_.unresponsive_backoff;
      outbox_.emplace_back(PeerUnresponsive{request.lender(),
                                            budget.limit.budget,
                                            now - request.first_sent_at()});
    }
    budget.refused_until[request.lender().process] =
        now + policy_.refused_backoff;
    budget.loan_request.reset();
    return;
  }
  const auto first = budget.waiting.First();
  const bool is_preceded =
      IsScarce(now, budget) && first && first->rank < request.Find(0)->rank;
  const bool is_unanswered =
      now - request.sent_at() >= (request.is_pending()
                                      ? kPendingResendInterval
                                      : policy_.loan_resend_interval);
  if (is_preceded || is_unanswered) {
    SendLoanRequest(now, budget, request.lender(), true);
  }
}

void MeteredBudgetManager::State::Borrow(base::Millis now,
                                         MeteredBudget& budget) {
  const bool is_waited_for = budget.loan_need > Available(budget);
  const Tokens target = WantedLoan(now, budget);
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
  budget.loan_request.emplace(*lender, now);
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
  const auto first = budget.waiting.First();
  if (requests_tokens) {
    const Tokens shortfall =
        std::max<Tokens>(0, budget.loan_need - Available(budget));
    const Tokens spare =
        std::max<Tokens>(0, budget.borrowed.free() - budget.reserved);
    const Tokens wanted = IsScarce(now, budget)
                              ? budget.waiting.Total() - Available(budget)
                              : LoanTarget(now, budget) - spare;
    const Tokens requested = std::max({shortfall, wanted, Tokens{1}});
    request.least = shortfall == 0 ? 0 : loan.lent + shortfall;
    request.wished = loan.lent + requested;
    if (first) {
      request.urgency = first->rank.urgency;
      request.waited = std::max(base::Millis(), now - first->rank.since);
    }
    request.number = ++loan_requests_sent_;
    if (budget.loan_request) {
      budget.loan_request->AddSend(now,
                                   {request.number, budget.loan_need,
                                    first ? first->rank : ReservationRank()});
    }
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
    const bool is_due = draining_ || IsScarce(now, budget) ||
                        now - loan.reported_at >= interval;
    const Peer* const lender =
        loan.has_unreported_usage() && is_due ? PeerOf(incarnation) : nullptr;
    if (lender != nullptr) {
      SendLoanRequest(now, budget, *lender, false);
    }
  }
}

}  // namespace godwit::ledger
