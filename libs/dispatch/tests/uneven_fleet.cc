#include "uneven_fleet.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <sstream>
#include <vector>

#include "dispatch/backend.h"
#include "dispatch/choice.h"
#include "dispatch/placement.h"
#include "dispatch/placement_request.h"
#include "dispatch/prompt.h"
#include "uneven_server.h"

namespace godwit::dispatch {
namespace {

constexpr double kSpeeds[] = {0.7, 0.7, 1.7};
constexpr int64_t kSlots = 12;
constexpr int64_t kStepMs = 5;
constexpr int64_t kWindowMs = 5'000;
constexpr int64_t kStartMs = 1'000;
constexpr int64_t kLateMs = 600;
constexpr uint64_t kSessions = 60;
constexpr int64_t kEvents = 13;
constexpr base::Tokens kOutputTokens = 52;

struct InProgress {
  size_t router = 0;
  size_t server = 0;
  int64_t started_at_ms = 0;
  double expected_ms = 0;
};

// Prompts of 800 to 9,000 tokens. Sessions with low numbers are more frequent.
struct Arrival {
  uint64_t session = 0;
  base::Tokens shared = 0;
  base::Tokens own = 0;

  explicit Arrival(std::mt19937_64& random) {
    std::uniform_real_distribution<double> point(0, 1);
    const double at = point(random);
    session = 1 + static_cast<uint64_t>(at * at * kSessions);
    shared = 400 + static_cast<base::Tokens>(session * 2'654'435'761 % 5'600);
    own = 400 + static_cast<base::Tokens>(random() % 2'600);
  }
};

double BusiestOverMean(const std::vector<double>& work) {
  double capacity = 0;
  double total = 0;
  double busiest = 0;
  for (size_t i = 0; i < work.size(); ++i) {
    const double speed = kSpeeds[i % std::size(kSpeeds)];
    capacity += speed;
    total += work[i];
    busiest = std::max(busiest, work[i] / speed);
  }
  return total == 0 ? 1 : busiest / (total / capacity);
}

}  // namespace

std::string UnevenFleet::Figures::Describe() const {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << not_placed << " not placed, "
       << late_percent << "% late, first byte after " << mean_first_byte_ms
       << " ms, error " << mean_error_ms << " ms, busiest " << busiest << " ("
       << busiest_in_window << " in windows, " << busiest_by_requests
       << " by requests), " << reread_percent << "% read again, "
       << other_percent << "% elsewhere, " << most_memory << " of the memory";
  return text.str();
}

UnevenFleet::Figures& UnevenFleet::Figures::operator+=(const Figures& other) {
  not_placed += other.not_placed;
  late_percent += other.late_percent;
  mean_first_byte_ms += other.mean_first_byte_ms;
  mean_error_ms += other.mean_error_ms;
  busiest += other.busiest;
  busiest_in_window += other.busiest_in_window;
  busiest_by_requests += other.busiest_by_requests;
  reread_percent += other.reread_percent;
  other_percent += other.other_percent;
  most_memory += other.most_memory;
  return *this;
}

UnevenFleet::Figures UnevenFleet::Figures::operator/(double count) const {
  return {not_placed / count,
          late_percent / count,
          mean_first_byte_ms / count,
          mean_error_ms / count,
          busiest / count,
          busiest_in_window / count,
          busiest_by_requests / count,
          reread_percent / count,
          other_percent / count,
          most_memory / count};
}

UnevenFleet::Figures UnevenFleet::Replay(const Options& options) {
  std::mt19937_64 random(options.seed);
  std::vector<Backend> backends(options.servers);
  std::vector<const Backend*> candidates;
  std::vector<std::unique_ptr<UnevenServer>> servers;
  std::map<std::string, size_t> index;
  for (size_t i = 0; i < options.servers; ++i) {
    Backend& backend = backends[i];
    backend.instance =
        "s" + std::to_string(options.seed) + "-" + std::to_string(i);
    backend.service = base::ServiceId("model");
    backend.address = {"127.0.0.1", static_cast<uint16_t>(i + 1)};
    backend.data_centre = base::DataCentreId(
        i + options.other_servers < options.servers ? "a" : "b");
    backend.slots = kSlots;
    candidates.push_back(&backend);
    index[backend.instance] = i;
    servers.push_back(std::make_unique<UnevenServer>(
        kSpeeds[i % std::size(kSpeeds)], kSlots, random()));
  }
  std::vector<std::unique_ptr<Placement>> routers;
  for (size_t i = 0; i < options.routers; ++i) {
    PlacementOptions own = options.placement;
    own.data_centre = base::DataCentreId("a");
    routers.push_back(std::make_unique<Placement>(own));
  }
  std::exponential_distribution<double> gap_ms(options.prompts_per_second /
                                               1000);
  std::map<int64_t, InProgress> in_progress;
  std::map<uint64_t, base::Tokens> sessions;
  std::vector<double> total(options.servers, 0);
  std::vector<double> window(options.servers, 0);
  std::vector<double> requests(options.servers, 0);
  Figures figures;
  int64_t answered = 0;
  base::Tokens prompt_tokens = 0;
  base::Tokens most_held = 0;
  int64_t windows = 0;
  int64_t attempt = 0;
  double next_ms = kStartMs;
  const int64_t end_ms = kStartMs + options.seconds * 1000;
  for (int64_t now_ms = kStartMs; now_ms < end_ms; now_ms += kStepMs) {
    const base::Millis now(now_ms);
    for (size_t i = 0; i < servers.size(); ++i) {
      for (const UnevenServer::Event& event : servers[i]->Advance(kStepMs)) {
        const InProgress& run = in_progress.at(event.attempt);
        Placement& router = *routers[run.router];
        if (event.kind == UnevenServer::Event::Kind::kEnded) {
          router.OnEnded(now, event.attempt, Placement::Outcome::kServed);
          in_progress.erase(event.attempt);
          continue;
        }
        if (event.kind == UnevenServer::Event::Kind::kProgressed) {
          router.OnProgressed(now, event.attempt, event.events);
          continue;
        }
        router.OnAnswered(now, event.attempt,
                          servers[i]->Report(options.states_work_time));
        const auto took = static_cast<double>(now_ms - run.started_at_ms);
        ++answered;
        figures.mean_first_byte_ms += took;
        figures.mean_error_ms += std::abs(took - run.expected_ms);
        figures.late_percent += took > kLateMs ? 1 : 0;
      }
    }
    for (const auto& server : servers) {
      most_held = std::max(most_held, server->held_tokens());
    }
    for (; next_ms < static_cast<double>(now_ms); next_ms += gap_ms(random)) {
      const Arrival arrival(random);
      Prompt prompt;
      prompt.input_tokens = arrival.shared + arrival.own;
      prompt.max_output_tokens = kOutputTokens;
      prompt.parts = {
          {arrival.session, arrival.shared},
          {(uint64_t{1} << 40) + random() % (uint64_t{1} << 39), arrival.own}};
      PlacementRequest request;
      request.service = base::ServiceId("model");
      request.prompt = &prompt;
      request.event_gap_objective = base::Millis(300);
      if (options.kv_capacity > 0) {
        request.engine = EngineProfile{kSlots, options.kv_capacity, 4};
      }
      const size_t router = random() % options.routers;
      const Choice choice = routers[router]->Choose(now, request, candidates);
      if (choice.kind != Choice::Kind::kPlaced) {
        ++figures.not_placed;
        continue;
      }
      prompt_tokens += prompt.input_tokens;
      sessions[arrival.session] = arrival.shared;
      const size_t server = index.at(choice.backend.instance);
      routers[router]->OnStarted(now, ++attempt, choice.backend, request);
      ++requests[server];
      in_progress[attempt] = {router, server, now_ms,
                              static_cast<double>(choice.expected.count())};
      servers[server]->Start(
          {attempt, arrival.session, arrival.shared, arrival.own, kEvents});
    }
    if ((now_ms - kStartMs + kStepMs) % kWindowMs == 0) {
      for (size_t i = 0; i < servers.size(); ++i) {
        const auto read = static_cast<double>(servers[i]->tokens_read());
        window[i] = read - total[i];
        total[i] = read;
      }
      figures.busiest_in_window += BusiestOverMean(window);
      ++windows;
    }
  }
  figures.busiest = BusiestOverMean(total);
  figures.busiest_by_requests = BusiestOverMean(requests);
  figures.busiest_in_window /= static_cast<double>(windows);
  figures.mean_first_byte_ms /= static_cast<double>(answered);
  figures.mean_error_ms /= static_cast<double>(answered);
  figures.late_percent *= 100 / static_cast<double>(answered);
  const double total_requests =
      std::accumulate(requests.begin(), requests.end(), 0.0);
  figures.other_percent =
      100 / total_requests *
      std::accumulate(
          requests.end() - static_cast<ptrdiff_t>(options.other_servers),
          requests.end(), 0.0);
  figures.most_memory = options.kv_capacity == 0
                            ? 0
                            : static_cast<double>(most_held) /
                                  static_cast<double>(options.kv_capacity);
  base::Tokens reread = 0;
  for (const auto& server : servers) {
    reread += server->shared_tokens_read();
  }
  // The first time is no repetition.
  for (const auto& [session, tokens] : sessions) {
    reread -= tokens;
  }
  figures.reread_percent =
      100 * static_cast<double>(reread) / static_cast<double>(prompt_tokens);
  return figures;
}

}  // namespace godwit::dispatch
