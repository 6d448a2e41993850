#include "claims/plan_directory.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <set>
#include <string_view>
#include <utility>

namespace godwit::claims {
namespace {

using Members = std::vector<DirectoryMember>;

constexpr size_t kCopies = 2;

struct CopyPair {
  std::optional<DirectoryMember> primary;
  std::optional<DirectoryMember> secondary;
};

base::Digest Score(const base::Digest& key, const DirectoryMember& member) {
  const base::Digest incarnation_digest =
      base::Digest::Of(member.incarnation.value());
  const std::array<uint64_t, 4> words = {key.high(), key.low(),
                                         incarnation_digest.high(),
                                         incarnation_digest.low()};
  return base::Digest::Of(std::string_view(
      reinterpret_cast<const char*>(words.data()), sizeof(words)));
}

// Returns the member with the highest score, excluding `except` and, if
// `outside` is given, the members of that data centre.
std::optional<DirectoryMember> BestMember(
    const Members& members,
    const base::Digest& key,
    const base::Incarnation& except,
    const std::optional<base::DataCentreId>& outside) {
  const DirectoryMember* best = nullptr;
  base::Digest best_score;
  for (const DirectoryMember& member : members) {
    if (member.incarnation == except ||
        (outside && member.data_centre == *outside)) {
      continue;
    }
    const base::Digest score = Score(key, member);
    if (best == nullptr || best_score < score) {
      best = &member;
      best_score = score;
    }
  }
  return best == nullptr ? std::nullopt : std::make_optional(*best);
}

CopyPair ChooseCopies(const Members& members, const base::Digest& key) {
  CopyPair pair;
  pair.primary = BestMember(members, key, base::Incarnation(), std::nullopt);
  if (!pair.primary) {
    return pair;
  }
  const auto& first = pair.primary->incarnation;
  pair.secondary = BestMember(members, key, first, pair.primary->data_centre);
  if (!pair.secondary) {
    pair.secondary = BestMember(members, key, first, std::nullopt);
  }
  return pair;
}

// Returns the members to consider, oldest first. Members removed for at least
// the retention are dropped.
Members ByJoinOrder(const Members& members,
                    base::Millis now,
                    base::Millis retention) {
  Members kept;
  for (const DirectoryMember& member : members) {
    if (member.state != MemberState::kRemoved ||
        now - member.removed_at < retention) {
      kept.push_back(member);
    }
  }
  std::sort(kept.begin(), kept.end(), [](const auto& a, const auto& b) {
    return std::make_pair(a.joined_at, a.incarnation) <
           std::make_pair(b.joined_at, b.incarnation);
  });
  return kept;
}

bool IsRemoved(const std::optional<DirectoryMember>& member) {
  return !member || member->state == MemberState::kRemoved;
}

// Adds the copies chosen among the live members of each longer prefix, which is
// the fleet as it will be once these members are mature and the removed ones
// are dropped.
void AddShadows(const Members& members,
                size_t mature,
                const base::Digest& key,
                DirectoryPlan& plan) {
  std::set<base::Incarnation> known;
  for (const auto* member : {&plan.primary, &plan.secondary}) {
    if (*member) {
      known.insert((*member)->incarnation);
    }
  }
  Members live;
  for (size_t i = 0; i < members.size(); ++i) {
    if (members[i].state != MemberState::kRemoved) {
      live.push_back(members[i]);
    }
    if (i + 1 < mature) {
      continue;
    }
    const CopyPair pair = ChooseCopies(live, key);
    for (const auto* member : {&pair.primary, &pair.secondary}) {
      if (*member && known.insert((*member)->incarnation).second) {
        plan.shadows.push_back(**member);
      }
    }
  }
}

}  // namespace

DirectoryPlan PlanDirectory(const std::vector<DirectoryMember>& members,
                            const base::Digest& key,
                            base::Millis wall_now,
                            base::Millis retention) {
  const Members ordered = ByJoinOrder(members, wall_now, retention);
  const auto first_immature = std::find_if(
      ordered.begin(), ordered.end(), [&](const DirectoryMember& member) {
        return wall_now - member.joined_at < retention;
      });
  const size_t mature = std::min(
      ordered.size(),
      std::max(kCopies, static_cast<size_t>(first_immature - ordered.begin())));
  const Members mature_members(
      ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(mature));
  DirectoryPlan plan;
  const CopyPair pair = ChooseCopies(mature_members, key);
  plan.primary = pair.primary;
  plan.secondary = pair.secondary;
  AddShadows(ordered, mature, key, plan);
  plan.copies_lost = IsRemoved(plan.primary) && IsRemoved(plan.secondary);
  if (plan.copies_lost && plan.primary) {
    plan.copies_lost_until = plan.primary->removed_at + retention;
    if (plan.secondary) {
      plan.copies_lost_until = std::min(plan.copies_lost_until,
                                        plan.secondary->removed_at + retention);
    }
  }
  return plan;
}

}  // namespace godwit::claims
