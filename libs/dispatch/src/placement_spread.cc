// Choices by the capacity model.
#include <algorithm>
#include <array>
#include <cmath>
#include <map>

#include "placement_state.h"

namespace godwit::dispatch {
namespace {

// Share of the shared tokens that a prompt's preferred server is assumed to
// have cached if this router has sent it none of them.
constexpr double kPreferredCachedShare = 0.9;
// Excess of a preferred server's expected time over the shortest up to which a
// prompt stays there, as shares of the latency objective. It lies between these
// for each prompt, so that routers that read the same report don't all move
// their prompts at once.
constexpr double kStayShare = 0.5;
constexpr double kLeaveShare = 1;
// Multiple of its part by capacity up to which a server gets the prompts that
// prefer it; between these for each prompt. Each router counts what it has sent
// itself: if all routers keep to it, so does the sum, however old their reports
// are.
constexpr double kMinWorkBound = 1;
constexpr double kMaxWorkBound = 1.2;

// A number between 0 and 1 that follows from the bits of a hash.
double UnitInterval(uint64_t hash) {
  constexpr double two_to_53 = 9007199254740992.0;
  return (static_cast<double>(hash >> 11U) + 0.5) / two_to_53;
}

double Between(double lowest, double highest, uint64_t hash) {
  return lowest + (highest - lowest) * UnitInterval(hash);
}

}  // namespace

// For each data centre, the mean time that the recent attempts of this router
// take there if they are shared out by capacity, times a bound that depends on
// the prompt, so that the same prompts leave a server at all routers and stay
// cached at the next one; and one request, so that few attempts don't look like
// an excess.
void Placement::State::MarkExcess(const PlacementRequest& request,
                                  std::vector<ScoredBackend>& all) const {
  struct DataCentre {
    double work = 0;
    double speeds = 0;
    double servers = 0;
  };
  std::map<base::DataCentreId, DataCentre> data_centres;
  double work = 0;
  for (const ScoredBackend& scored : all) {
    const double speed =
        1 / scored.load->model->coefficients().prefill_ms_per_token;
    DataCentre& own = data_centres[scored.backend->data_centre];
    own.work += scored.load->recent_work * speed;
    own.speeds += speed;
    ++own.servers;
    work += scored.load->recent_work * speed;
  }
  const double bound =
      Between(kMinWorkBound, kMaxWorkBound,
              PromptCacheTracker::SharedPartsHash(*request.prompt));
  const auto known = service_stats.find(request.service);
  const double attempts =
      known == service_stats.end() ? 0 : known->second.recent_attempts;
  const double one_request = work / std::max(1.0, attempts);
  for (ScoredBackend& scored : all) {
    const DataCentre& own = data_centres.at(scored.backend->data_centre);
    scored.has_excess =
        scored.load->recent_work >
        (bound * own.work + one_request * own.servers) / own.speeds;
  }
}

// By weighted rendezvous hashing, so that an error of a learned speed moves few
// prompts to another server.
std::array<const Placement::State::ScoredBackend*, 2>
Placement::State::PreferredByCapacity(
    const PlacementRequest& request,
    const std::vector<ScoredBackend>& all) const {
  const auto is_local = [this](const ScoredBackend& scored) {
    return scored.backend->data_centre == options.data_centre;
  };
  const bool only_local = !HasGlobalPreference(*request.prompt) &&
                          std::any_of(all.begin(), all.end(), is_local);
  std::array<const ScoredBackend*, 2> preferred{};
  std::array<double, 2> scores{};
  for (const ScoredBackend& scored : all) {
    if ((only_local && !is_local(scored)) || !scored.is_preferable) {
      continue;
    }
    const double point = UnitInterval(PromptCacheTracker::RendezvousWeight(
        scored.backend->key(), *request.prompt));
    const double score =
        -1 / (std::log(point) *
              scored.load->model->coefficients().prefill_ms_per_token);
    if (score > scores[0]) {
      scores = {score, scores[0]};
      preferred = {&scored, preferred[0]};
    } else if (score > scores[1]) {
      scores[1] = score;
      preferred[1] = &scored;
    }
  }
  return preferred;
}

const Placement::State::ScoredBackend* Placement::State::PickByCapacity(
    const PlacementRequest& request,
    const std::vector<ScoredBackend>& all) const {
  const ScoredBackend* best = nullptr;
  const ScoredBackend* best_within_bound = nullptr;
  for (const ScoredBackend& scored : all) {
    if (!scored.has_capacity) {
      continue;
    }
    if (best == nullptr || scored.cost < best->cost) {
      best = &scored;
    }
    if (!scored.has_excess && (best_within_bound == nullptr ||
                               scored.cost < best_within_bound->cost)) {
      best_within_bound = &scored;
    }
  }
  if (best_within_bound == nullptr) {
    return best;
  }
  const double excess =
      Between(kStayShare, kLeaveShare,
              PromptCacheTracker::SharedPartsHash(*request.prompt)) *
      static_cast<double>(request.latency_objective.count());
  const base::Tokens shared = PromptCacheTracker::SharedTokens(*request.prompt);
  for (const ScoredBackend* preferred : PreferredByCapacity(request, all)) {
    if (preferred == nullptr || !preferred->has_capacity ||
        preferred->has_excess) {
      continue;
    }
    const base::Tokens known =
        request.prompt->input_tokens - preferred->uncached;
    const double prefill_ms_per_token =
        preferred->load->model->coefficients().prefill_ms_per_token;
    const double cached_ms =
        kPreferredCachedShare * prefill_ms_per_token *
        static_cast<double>(std::max<base::Tokens>(0, shared - known));
    if (preferred->cost - cached_ms <= best_within_bound->cost + excess) {
      return preferred;
    }
  }
  return best_within_bound;
}

}  // namespace godwit::dispatch
