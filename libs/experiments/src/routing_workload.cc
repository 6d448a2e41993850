#include "routing_workload.h"

#include <algorithm>

namespace godwit::experiments {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr base::Tokens kTokensPerBlock = 64;
constexpr base::Tokens kSystemPromptTokens = 1024;
constexpr base::Tokens kTurnTokens = 384;
constexpr int64_t kOrganisations = 40;
constexpr int64_t kSessions = 400;
constexpr int64_t kMaxTurns = 8;
constexpr size_t kMaxBlocks = 64;
constexpr int64_t kQuotesPercent = 25;
// Distinguishes digests of system prompts from those of sessions.
constexpr uint64_t kSystemPromptBit = uint64_t{1} << 63;
// Odd factors that spread digests over a hash table.
constexpr uint64_t kHashFactor = 0x9E3779B97F4A7C15;
constexpr uint64_t kIndexHashFactor = 0xBF58476D1CE4E5B9;

}  // namespace

RoutingWorkload::RoutingWorkload(uint64_t seed,
                                 size_t routers,
                                 int64_t logs_percent)
    : random_(seed), routers_(routers), logs_percent_(logs_percent) {
  sessions_.reserve(kSessions);
  for (int64_t i = 0; i < kSessions; ++i) {
    sessions_.push_back(NewSession());
    sessions_.back().turns = Uniform(0, kMaxTurns - 1);
  }
}

Arrival RoutingWorkload::Next(double per_second) {
  std::exponential_distribution<double> gap(per_second);
  now_us_ += static_cast<int64_t>(gap(random_) * kMicrosPerSecond);
  Arrival arrival;
  arrival.at_us = now_us_;
  arrival.router =
      static_cast<size_t>(Uniform(0, static_cast<int64_t>(routers_) - 1));
  const int64_t kind = Uniform(0, 99);
  if (kind < kQuotesPercent) {
    arrival.workload_class = 0;
    arrival.output_tokens = Uniform(40, 160);
    Fill(arrival, NewSession(), Uniform(50, 250));
  } else if (kind < 100 - logs_percent_) {
    arrival.workload_class = 1;
    arrival.output_tokens = Uniform(100, 600);
    Session& session =
        sessions_[static_cast<size_t>(Uniform(0, kSessions - 1))];
    Fill(arrival, session, session.turns * kTurnTokens + Uniform(50, 250));
    if (++session.turns == kMaxTurns) {
      session = NewSession();
    }
  } else {
    arrival.workload_class = 2;
    arrival.output_tokens = Uniform(200, 800);
    Fill(arrival, NewSession(), Uniform(3000, 10000));
  }
  const WorkloadClass& kind_of = kWorkload[arrival.workload_class];
  arrival.request.priority = kind_of.priority;
  arrival.request.deadline_in = kind_of.deadline;
  return arrival;
}

int64_t RoutingWorkload::Uniform(int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(random_);
}

RoutingWorkload::Session RoutingWorkload::NewSession() {
  Session session;
  session.id = next_id_++;
  session.organisation = static_cast<uint64_t>(Uniform(0, kOrganisations - 1));
  return session;
}

void RoutingWorkload::Fill(Arrival& arrival,
                           const Session& session,
                           base::Tokens tail) {
  arrival.request.prompt_tokens = kSystemPromptTokens + tail;
  const auto blocks = std::min(
      kMaxBlocks,
      static_cast<size_t>(arrival.request.prompt_tokens / kTokensPerBlock));
  const auto system_blocks =
      static_cast<size_t>(kSystemPromptTokens / kTokensPerBlock);
  for (uint64_t i = 0; i < blocks; ++i) {
    const uint64_t owner = i < system_blocks
                               ? kSystemPromptBit | session.organisation
                               : session.id;
    arrival.request.prefix_blocks.emplace_back(
        owner, owner * kHashFactor ^ i * kIndexHashFactor);
  }
}

}  // namespace godwit::experiments
