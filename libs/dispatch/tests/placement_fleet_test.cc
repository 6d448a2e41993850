// Replays long prompts at many routers that place them independently of each
// other: none of them knows what the others have sent to a server.
#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "dispatch/backend.h"
#include "dispatch/choice.h"
#include "dispatch/placement.h"
#include "dispatch/placement_options.h"
#include "dispatch/placement_request.h"
#include "dispatch/prompt.h"

#include <CppUTest/TestHarness.h>

using godwit::base::DataCentreId;
using godwit::base::Endpoint;
using godwit::base::Millis;
using godwit::base::ServiceId;
using godwit::base::Tokens;
using godwit::dispatch::Backend;
using godwit::dispatch::Choice;
using godwit::dispatch::Placement;
using godwit::dispatch::PlacementOptions;
using godwit::dispatch::PlacementRequest;
using godwit::dispatch::Prompt;

namespace {

constexpr size_t kRouters = 20;
constexpr size_t kServers = 36;
constexpr double kPrefillTokensPerMs = 42.8;
constexpr double kBaseMs = 20;
constexpr Tokens kSharedTokens = 6'300;
constexpr Tokens kMeanOwnTokens = 2'890;
constexpr uint64_t kSessions = 500;
// Shared parts that fit into the memory of a server beside its running
// requests.
constexpr size_t kCachedSessions = 12;
constexpr double kPromptsPerSecond = 57;
constexpr int kSeconds = 40;
constexpr Millis kObjective(600);

// Prefills prompts one after the other and keeps the shared parts used last.
class Server {
 public:
  // Returns when the prompt has been read.
  double Prefill(double now_ms, uint64_t session, Tokens own) {
    const auto found = std::find(cache_.begin(), cache_.end(), session);
    const bool is_cached = found != cache_.end();
    if (is_cached) {
      cache_.erase(found);
    }
    cache_.push_back(session);
    if (cache_.size() > kCachedSessions) {
      cache_.pop_front();
    }
    const Tokens uncached = own + (is_cached ? 0 : kSharedTokens);
    free_at_ms_ = std::max(free_at_ms_, now_ms) +
                  static_cast<double>(uncached) / kPrefillTokensPerMs;
    return free_at_ms_;
  }

 private:
  double free_at_ms_ = 0;
  std::deque<uint64_t> cache_;
};

struct Running {
  int64_t answered_at_ms = 0;
  size_t router = 0;
  int64_t attempt = 0;

  friend bool operator<(const Running& a, const Running& b) {
    return a.answered_at_ms > b.answered_at_ms;
  }
};

// Returns the share of prompts whose first byte is late, in percent.
double LatePercent(const PlacementOptions& options) {
  std::mt19937_64 random(11);
  std::vector<Backend> backends(kServers);
  std::vector<const Backend*> candidates;
  std::map<std::string, Server> servers;
  for (size_t i = 0; i < kServers; ++i) {
    backends[i].instance = "s" + std::to_string(i);
    backends[i].service = ServiceId("model");
    backends[i].address = Endpoint{"127.0.0.1", static_cast<uint16_t>(i + 1)};
    backends[i].data_centre = DataCentreId("a");
    backends[i].slots = 12;
    candidates.push_back(&backends[i]);
  }
  std::vector<std::unique_ptr<Placement>> routers;
  for (size_t i = 0; i < kRouters; ++i) {
    PlacementOptions own = options;
    own.data_centre = DataCentreId("a");
    routers.push_back(std::make_unique<Placement>(own));
  }
  std::priority_queue<Running> running;
  std::exponential_distribution<double> gap_ms(kPromptsPerSecond / 1000);
  int64_t prompts = 0;
  int64_t late = 0;
  int64_t attempt = 0;
  for (double now_ms = 1000; now_ms < 1000.0 * (kSeconds + 1);
       now_ms += gap_ms(random)) {
    const auto now = static_cast<int64_t>(now_ms);
    while (!running.empty() && running.top().answered_at_ms <= now) {
      const Running done = running.top();
      running.pop();
      const Millis at(done.answered_at_ms);
      routers[done.router]->OnAnswered(at, done.attempt, std::nullopt);
      routers[done.router]->OnEnded(at, done.attempt,
                                    Placement::Outcome::kServed);
    }
    Prompt prompt;
    const uint64_t session = 1 + random() % kSessions;
    const Tokens own = 1 + static_cast<Tokens>(random() % (2 * kMeanOwnTokens));
    prompt.input_tokens = kSharedTokens + own;
    prompt.max_output_tokens = 52;
    prompt.parts = {
        {session, kSharedTokens},
        {(uint64_t{1} << 40) + random() % (uint64_t{1} << 39), own}};
    PlacementRequest request;
    request.service = ServiceId("model");
    request.prompt = &prompt;
    request.event_gap_objective = Millis(300);
    const size_t router = random() % kRouters;
    const Choice choice =
        routers[router]->Choose(Millis(now), request, candidates);
    ++prompts;
    if (choice.kind != Choice::Kind::kPlaced) {
      ++late;
      continue;
    }
    routers[router]->OnStarted(Millis(now), ++attempt, choice.backend, request);
    const double read_at_ms =
        servers[choice.backend.instance].Prefill(now_ms, session, own);
    const auto answered_at = static_cast<int64_t>(read_at_ms + kBaseMs);
    late += answered_at - now > kObjective.count() ? 1 : 0;
    running.push({answered_at, router, attempt});
  }
  return 100.0 * static_cast<double>(late) / static_cast<double>(prompts);
}

}  // namespace

TEST_GROUP(PlacementFleet){};

TEST(PlacementFleet, LongPromptsDoNotQueueAtAFewServers) {
  PlacementOptions third;
  third.long_prompt_server_share = 0.34;
  const double before = LatePercent(third);
  const double after = LatePercent(PlacementOptions());
  const std::string figures =
      std::to_string(before) + "% late, now " + std::to_string(after) + "%";
  CHECK_TEXT(after <= before / 2, figures.c_str());
}
