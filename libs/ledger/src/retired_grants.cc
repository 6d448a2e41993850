#include "retired_grants.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

namespace godwit::ledger {
namespace {

// The ids of other grants begin with an incarnation.
constexpr char kFoldedSuffix[] = "/retired";

}  // namespace

RetiredGrants::RetiredGrants(Budget& budget, base::ProcessId process)
    : budget_(budget), process_(std::move(process)) {}

base::ProcessId RetiredGrants::ProcessOf(const base::Incarnation& incarnation) {
  const std::string& text = incarnation.value();
  return base::ProcessId(text.substr(0, text.rfind('.')));
}

std::set<base::ProcessId> RetiredGrants::FoldedProcesses(const Budget& budget) {
  std::set<base::ProcessId> processes;
  for (const auto& [id, grant] : budget.grants) {
    if (grant.closure == GrantClosure::kFolded) {
      processes.insert(base::ProcessId(grant.holder.value()));
    }
  }
  return processes;
}

base::GrantId RetiredGrants::folded_id() const {
  return base::GrantId(process_.value() + kFoldedSuffix);
}

const Grant* RetiredGrants::FoldedIn(const Budget& budget) const {
  const auto found = budget.grants.find(folded_id());
  return found == budget.grants.end() ? nullptr : &found->second;
}

bool RetiredGrants::IsOwn(const Grant& grant) const {
  return grant.closure != GrantClosure::kFolded &&
         ProcessOf(grant.holder) == process_;
}

int64_t RetiredGrants::NextSequence() const {
  const Grant* const folded = FoldedIn(budget_);
  int64_t last = folded == nullptr ? 0 : folded->sequence;
  for (const auto& [id, grant] : budget_.grants) {
    if (IsOwn(grant)) {
      last = std::max(last, grant.sequence);
    }
  }
  return last + 1;
}

std::vector<base::GrantId> RetiredGrants::Foldable() const {
  std::vector<std::pair<int64_t, base::GrantId>> retired;
  int64_t first_open = std::numeric_limits<int64_t>::max();
  for (const auto& [id, grant] : budget_.grants) {
    if (!IsOwn(grant)) {
      continue;
    }
    if (grant.closure != GrantClosure::kNone) {
      retired.emplace_back(grant.sequence, id);
    } else if (grant.sequence > 0) {
      first_open = std::min(first_open, grant.sequence);
    }
  }
  std::sort(retired.begin(), retired.end());
  std::vector<base::GrantId> ids;
  for (const auto& [sequence, id] : retired) {
    if (sequence < first_open) {
      ids.push_back(id);
    }
  }
  return ids;
}

void RetiredGrants::FoldExcess() {
  const auto ids = Foldable();
  for (size_t i = 0; i + kMaxUnfolded < ids.size(); ++i) {
    Fold(ids[i]);
  }
}

bool RetiredGrants::FoldWhile(
    const std::function<bool(const base::GrantId&)>& is_due) {
  bool has_changed = false;
  for (const base::GrantId& id : Foldable()) {
    if (!is_due(id)) {
      break;
    }
    has_changed = true;
    if (budget_.grants.at(id).amount == 0 && FoldedIn(budget_) == nullptr) {
      budget_.grants.erase(id);
    } else {
      Fold(id);
    }
  }
  return has_changed;
}

void RetiredGrants::Fold(const base::GrantId& id) {
  const Grant grant = budget_.grants.at(id);
  budget_.grants.erase(id);
  Grant& folded = budget_.grants[folded_id()];
  folded.holder = base::Incarnation(process_.value());
  folded.state = GrantState::kSealed;
  folded.closure = GrantClosure::kFolded;
  folded.sequence = std::max(folded.sequence, grant.sequence);
  folded.amount += grant.amount;
  AgentAccount& account = folded.agents[folded.holder];
  account.billed += grant.billed();
  account.state = account.billed < folded.amount ? AccountState::kLost
                                                 : AccountState::kFinal;
}

void RetiredGrants::RemoveFoldedIn(const Budget& other) {
  const Grant* const folded = FoldedIn(budget_);
  const bool was_renumbered =
      folded != nullptr && folded->closure != GrantClosure::kFolded;
  const Grant* const included = FoldedIn(other);
  if (included == nullptr || was_renumbered) {
    // A router of an earlier version has dropped the numbers.
    return;
  }
  for (auto entry = budget_.grants.begin(); entry != budget_.grants.end();) {
    const auto& [id, grant] = *entry;
    const bool is_included =
        IsOwn(grant) && id != folded_id() && grant.sequence > 0 &&
        grant.sequence <= included->sequence && other.grants.count(id) == 0;
    entry = is_included ? budget_.grants.erase(entry) : std::next(entry);
  }
}

}  // namespace godwit::ledger
