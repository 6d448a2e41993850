#include "sample_records.h"

#include <utility>
#include <vector>

#include "base/digest.h"
#include "ledger/ledger_edit.h"

namespace godwit::load {
namespace {

constexpr size_t kSubset = 16;
constexpr size_t kDataCentres = 5;
constexpr base::Tokens kLimit = 1'000'000;
constexpr base::Tokens kGrant = 20'000;
// Has the length of the incarnations that the daemons generate.
constexpr char kIncarnationSuffix[] = ".0123456789abcdef";

base::Incarnation IncarnationOf(const std::string& role, size_t number) {
  return base::Incarnation(role + "-" + std::to_string(number) +
                           kIncarnationSuffix);
}

}  // namespace

ledger::LedgerRecord SampleLedger(size_t budgets, size_t grants) {
  ledger::LedgerEdit edit((ledger::LedgerRecord()));
  std::vector<base::Incarnation> agents;
  for (size_t i = 0; i < kSubset; ++i) {
    agents.push_back(IncarnationOf("engine", i));
  }
  for (size_t i = 0; i < budgets; ++i) {
    const base::BudgetId budget("organisation-" + std::to_string(i) + "-main");
    edit.CreateBudget(
        budget, base::OrganisationId("organisation-" + std::to_string(i)));
    edit.TopUp(budget, "purchase-1", kLimit, base::Millis(1));
    for (size_t g = 0; g < grants; ++g) {
      const base::Incarnation holder = IncarnationOf("router", g);
      const base::GrantId grant(holder.value() + "/" + std::to_string(i));
      edit.Draw(budget, grant, holder, kGrant);
      edit.ListAgents(budget, grant, agents);
    }
  }
  return edit.record();
}

membership::FleetRecord SampleFleet(size_t agents) {
  std::vector<membership::FleetAgent> entries;
  for (size_t i = 0; i < agents; ++i) {
    membership::FleetAgent agent;
    agent.process = base::ProcessId("engine-" + std::to_string(i));
    agent.incarnation = IncarnationOf("engine", i);
    agent.ip =
        "10.0." + std::to_string(i / 256) + "." + std::to_string(i % 256);
    agent.port = 7000;
    agent.data_centre =
        base::DataCentreId("data-centre-" + std::to_string(i % kDataCentres));
    agent.joined_at = base::Millis(static_cast<int64_t>(i) + 1);
    entries.push_back(std::move(agent));
  }
  return membership::FleetRecord(std::move(entries));
}

claims::ClaimRecord SampleClaims(size_t claims) {
  claims::ClaimRecord record;
  for (size_t i = 0; i < claims; ++i) {
    const base::Digest key = base::Digest::Of(std::to_string(i));
    record.claims[key] = claims::Claim{
        key,
        base::AttemptId(IncarnationOf("router", i % 320).value() + "/1000"),
        IncarnationOf("engine", i % 770), base::Millis(1)};
  }
  return record;
}

std::string SampleConfiguration(size_t organisations) {
  std::string text =
      "classes:\n  normal: {priority: 50, deadline_ms: 10000}\n"
      "services:\n  language:\n    kind: model_pool\n    model: m\n"
      "    backend_servers: [engine-1]\norganisations:\n";
  for (size_t i = 0; i < organisations; ++i) {
    const std::string number = std::to_string(i);
    const std::string digest = base::Digest::Of(number).ToHex();
    text.append("  organisation-").append(number);
    text.append(":\n    api_key_hashes: [").append(digest).append(digest);
    text.append("]\n    budget: organisation-").append(number);
    text.append("-main\n");
  }
  return text;
}

}  // namespace godwit::load
