// The order in which calls get the tokens of a budget that several wait for.
#include <vector>

#include "dispatch/peer_message_received.h"
#include "dispatch/routers_listed.h"
#include "dispatch_simulation.h"
#include "ledger/loan_reply.h"
#include "ledger/peer.h"

#include <CppUTest/TestHarness.h>

using godwit::base::BudgetId;
using godwit::base::ErrorKind;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::ProcessId;
using godwit::base::Tokens;
using godwit::dispatch::CallId;
using godwit::dispatch::DispatchSimulation;
using godwit::dispatch::ModelServer;
using godwit::dispatch::PeerMessageReceived;
using godwit::dispatch::RoutersListed;
using godwit::ledger::LoanReply;
using godwit::ledger::Peer;

namespace {

constexpr Tokens kPrompt = 100;
constexpr int64_t kEvents = 5;
// Largest use of a call, of 4 tokens an event.
constexpr Tokens kLargestUse = kPrompt + kEvents * 4;

const Peer kSelf{ProcessId("router-1"),
                 Incarnation("router-1.1"),
                 {"127.0.0.1", 1},
                 1000};
// Preferred as the lender, since its VM is far larger.
const Peer kLender{ProcessId("router-2"),
                   Incarnation("router-2.1"),
                   {"127.0.0.1", 2},
                   1'000'000};

}  // namespace

TEST_GROUP(BudgetOrder){};

// Load: less is lent than the waiting calls need.
TEST(BudgetOrder, UrgentCallsComeFirstThenEarlierOnes) {
  struct Case {
    const char* name;
    const char* first;
    const char* second;
    bool serves_first;
  };
  // "chat" is more urgent than "summary".
  const std::vector<Case> cases = {
      {"the later call is more urgent", "summary", "chat", false},
      {"the earlier call is more urgent", "chat", "summary", true},
      {"equally urgent", "chat", "chat", true}};
  for (const Case& c : cases) {
    DispatchSimulation::Options options;
    options.requires_api_key = true;
    options.organisations = {
        {OrganisationId("lantern"), {"key"}, std::nullopt, 1'000'000}};
    DispatchSimulation simulation(options, {ModelServer::Options()});
    simulation.Raise(RoutersListed{{kSelf, kLender}});
    const CallId first = simulation.Arrive(c.first, 0, kPrompt, 0, kEvents);
    simulation.Advance(Millis(5));
    const CallId second = simulation.Arrive(c.second, 0, kPrompt, 0, kEvents);
    LoanReply reply;
    reply.lender = kLender.incarnation;
    reply.borrower = kSelf.incarnation;
    reply.budget = BudgetId("lantern");
    reply.lent = kLargestUse;
    simulation.Raise(PeerMessageReceived{kLender.address, reply});
    // Long enough that the loan request for the other call is abandoned, and
    // not so long that the first answer ends.
    simulation.Advance(Millis(450));
    const CallId served = c.serves_first ? first : second;
    const CallId refused = c.serves_first ? second : first;
    CHECK_TEXT(simulation.outcome(served).refusal == ErrorKind::kNone, c.name);
    CHECK_TEXT(
        simulation.outcome(refused).refusal == ErrorKind::kBudgetUnavailable,
        c.name);
    CHECK_TEXT(simulation.outcome(refused).retry_after >= Millis(100) &&
                   simulation.outcome(refused).retry_after <= Millis(5000),
               c.name);
  }
}
