// A borrower whose lender answers each send of a loan request; answers arrive
// after the request has ended.
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "ledger/metered_budget_manager.h"

#include <CppUTest/TestHarness.h>

using godwit::base::BudgetId;
using godwit::base::Endpoint;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::ProcessId;
using godwit::base::Tokens;
using godwit::ledger::LoanReply;
using godwit::ledger::LoanRequest;
using godwit::ledger::MeteredBudgetManager;
using godwit::ledger::MeteredPolicy;
using godwit::ledger::Peer;
using godwit::ledger::PeerMessage;
using godwit::ledger::SendToPeer;
using Result = MeteredBudgetManager::ReserveResult;
using State = LoanReply::State;

namespace {

const BudgetId kBudget("kiosks");
const Incarnation kSelf("edge-1.1");
const Endpoint kLenderAddress{"10.0.0.2", 7200};
// Ranks first for every shard, by its size.
const Peer kLender{ProcessId("edge-2"), Incarnation("edge-2.1"), kLenderAddress,
                   1'000'000, 0};
constexpr Tokens kLimit = 100'000;
constexpr Tokens kAmount = 900;

// The borrower.
class Borrower {
 public:
  Borrower() : manager_(ProcessId("edge-1"), kSelf, MeteredPolicy()) {
    SetLimit(kLimit);
    manager_.SetPeers(
        now_,
        {{ProcessId("edge-1"), kSelf, {"10.0.0.1", 7200}, 1, 0}, kLender});
  }

  void SetLimit(Tokens limit) {
    manager_.SetLimits({{kBudget, OrganisationId("kiosk-line"), limit}}, {});
  }

  // Reserves for a request that arrives now, or that arrived at `since`.
  Result Reserve() { return ReserveSince(now_); }
  Result ReserveSince(Millis since) {
    return manager_.Reserve(now_, kBudget, kAmount, since, 0);
  }

  // Lets time pass; returns the message that requests tokens, if one is sent.
  std::vector<LoanRequest> Tick(Millis span) {
    now_ = now_ + span;
    std::vector<LoanRequest> requests;
    for (const auto& command : manager_.Tick(now_)) {
      const auto* send = std::get_if<SendToPeer>(&command);
      const auto* request =
          send == nullptr ? nullptr : std::get_if<LoanRequest>(&send->message);
      if (request != nullptr && request->wished > 0) {
        requests.push_back(*request);
      }
    }
    return requests;
  }

  // Receives the lender's reply to a message.
  void Receive(const LoanRequest& request,
               State state,
               Tokens lent,
               Tokens left) {
    LoanReply reply;
    reply.lender = kLender.incarnation;
    reply.borrower = kSelf;
    reply.budget = kBudget;
    reply.lent = lent;
    reply.state = state;
    reply.left = left;
    reply.number = request.number;
    manager_.On(now_, kLenderAddress, PeerMessage(reply));
  }

  Millis now() const { return now_; }

 private:
  Millis now_{10'000};
  MeteredBudgetManager manager_;
};

constexpr Millis kTick(10);
// After it, an unanswered message is sent again.
constexpr Millis kResend = MeteredPolicy().loan_resend_interval + kTick;

}  // namespace

TEST_GROUP(LateLoanReply){};

TEST(LateLoanReply, RefusalOfAnEarlierRequestRefusesTheNextOne) {
  struct Case {
    const char* name;
    State state;
    // What remains of the budget by the earlier reply.
    Tokens left;
    // The limit is raised in between.
    bool is_raised;
  };
  for (const Case& c :
       {Case{"nothing was free", State::kNothingFree, kLimit, false},
        Case{"the lender could not draw", State::kRefused, kLimit, false},
        Case{"used up before the limit was raised", State::kNothingFree, 0,
             true}}) {
    Borrower borrower;
    CHECK(borrower.Reserve() == Result::kWait);
    const auto first = borrower.Tick(kTick);
    CHECK_EQUAL_TEXT(1, first.size(), c.name);
    const auto again = borrower.Tick(kResend);
    CHECK_EQUAL_TEXT(1, again.size(), c.name);
    CHECK(first[0].number != again[0].number);
    // The first message is answered, the request ends.
    borrower.Receive(first[0], c.state, 0, c.left);
    // No lender is asked for the time after a refusal.
    borrower.Tick(Millis(600));
    if (c.is_raised) {
      borrower.SetLimit(kLimit * 2);
    }

    const Millis since = borrower.now();
    CHECK(borrower.Reserve() == Result::kWait);
    const auto next = borrower.Tick(kTick);
    CHECK_EQUAL_TEXT(1, next.size(), c.name);
    borrower.Receive(again[0], c.state, 0, c.left);
    CHECK_TEXT(borrower.ReserveSince(since) == Result::kWait, c.name);
    borrower.Receive(next[0], State::kLent, kAmount, c.left);
    CHECK_TEXT(borrower.ReserveSince(since) == Result::kReserved, c.name);
  }
}

TEST(LateLoanReply, RefusalOfTheOpenRequestIsNotTaken) {
  struct Case {
    const char* name;
    // The reply to the first of two messages, or to the second.
    bool answers_first;
    // A lender of an earlier version states no number.
    bool states_number;
  };
  for (const Case& c : {Case{"to the first message", true, true},
                        Case{"to the second message", false, true},
                        Case{"earlier version", false, false}}) {
    Borrower borrower;
    const Millis since = borrower.now();
    CHECK(borrower.Reserve() == Result::kWait);
    const auto first = borrower.Tick(kTick);
    const auto again = borrower.Tick(kResend);
    LoanRequest answered = c.answers_first ? first[0] : again[0];
    answered.number = c.states_number ? answered.number : 0;
    borrower.Receive(answered, State::kNothingFree, 0, kLimit);
    CHECK_TEXT(borrower.ReserveSince(since) == Result::kUnavailable, c.name);
  }
}
