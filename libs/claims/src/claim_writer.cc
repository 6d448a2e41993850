#include "claims/claim_writer.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "base/digest.h"
#include "cas/key_view.h"
#include "claims/claim_codec.h"

namespace godwit::claims {
namespace {

using base::Error;
using base::ErrorKind;
using base::Millis;

// An operation that takes longer is treated as unanswered.
constexpr Millis kOperationTimeout = base::Seconds(10);
// Delay after a KV operation without a usable response.
constexpr Millis kRetryDelay(100);

struct Pending {
  ClaimRequested request;
  Millis deadline;
};

struct Shard {
  explicit Shard(std::string key) : view(std::move(key)) {}

  cas::KeyView<ClaimRecord, ClaimCodec> view;
  std::vector<Pending> pending;
  // The last operation failed; reads are repeated until one succeeds.
  bool probing = false;
  Millis last_write_at;
  Millis retry_at;
};

Claim ClaimOf(const ClaimRequested& request, Millis wall_now) {
  return Claim{request.body_digest, request.attempt, request.agent, wall_now};
}

// Adds the claim if its key is free or held by an attempt that the request may
// replace.
void AddClaim(const ClaimRequested& request,
              Millis wall_now,
              ClaimRecord& record) {
  const auto [entry, is_new] =
      record.claims.emplace(request.key, ClaimOf(request, wall_now));
  const bool may_replace =
      !request.replaces.empty() && entry->second.attempt == request.replaces;
  if (!is_new && may_replace) {
    entry->second = ClaimOf(request, wall_now);
  }
}

}  // namespace

struct ClaimWriter::State {
  State(base::Incarnation incarnation, ClaimPolicy settings)
      : self(std::move(incarnation)), policy(settings) {
    for (int i = 0; i < policy.shard_count; ++i) {
      shards.emplace_back("claims/" + std::to_string(i));
    }
  }

  void On(const ClaimRequested& event) {
    const uint64_t hash = base::Digest::Of(event.key.ToHex()).low();
    Shard& shard = shards[hash % shards.size()];
    shard.pending.push_back(
        {event, std::min(event.expires, now + policy.max_wait)});
    AnswerPending(shard, false);
    Process(shard);
  }

  void On(const ClaimTick&) {
    for (Shard& shard : shards) {
      const auto busy_since = shard.view.busy_since();
      if (busy_since && now - *busy_since > kOperationTimeout) {
        shard.view.Abandon();
      }
      AnswerPending(shard, false);
      Process(shard);
    }
  }

  void On(const platform::KvReadDone& done) { OnDone(done); }
  void On(const platform::KvWriteDone& done) { OnDone(done); }

  template <typename Done>
  void OnDone(const Done& done) {
    for (Shard& shard : shards) {
      const cas::Progress progress = shard.view.Finish(done);
      if (progress == cas::Progress::kUnrelated) {
        continue;
      }
      shard.probing = progress == cas::Progress::kFailed;
      if (shard.probing) {
        failing_since = failing_since.value_or(now);
        shard.retry_at = now + kRetryDelay;
      } else {
        failing_since.reset();
      }
      AnswerPending(shard, progress == cas::Progress::kAdopted);
      Process(shard);
      return;
    }
  }

  // Answers the attempts that are decided by the current version of the record,
  // if it was just adopted, and those whose wait has ended.
  void AnswerPending(Shard& shard, bool adopted) {
    auto& pending = shard.pending;
    const auto answered = [&](const Pending& entry) {
      return (adopted && AnswerIfDecided(shard, entry)) ||
             RefuseIfFailed(shard, entry);
    };
    pending.erase(std::remove_if(pending.begin(), pending.end(), answered),
                  pending.end());
  }

  bool AnswerIfDecided(const Shard& shard, const Pending& entry) {
    const auto& claims = shard.view.record().claims;
    const auto found = claims.find(entry.request.key);
    if (found == claims.end() ||
        found->second.attempt == entry.request.replaces) {
      return false;
    }
    if (found->second.attempt == entry.request.attempt) {
      commands.emplace_back(ClaimWon{entry.request.attempt});
    } else {
      commands.emplace_back(ClaimExists{entry.request.attempt, found->second});
    }
    return true;
  }

  bool RefuseIfFailed(const Shard& shard, const Pending& entry) {
    if (shard.view.corrupt()) {
      Refuse(entry,
             Error(ErrorKind::kCorrupt, "the record of claims can't be read",
                   "ask the operator to restore it"));
      return true;
    }
    if (now < entry.deadline && !IsKvUnavailable()) {
      return false;
    }
    Refuse(entry, Error(ErrorKind::kUnavailable,
                        "the claim of a request that may not be repeated can't "
                        "be stored",
                        "send the request again later"));
    return true;
  }

  void Refuse(const Pending& entry, Error error) {
    commands.emplace_back(ClaimUnavailable{
        entry.request.attempt, std::move(error), policy.retry_after});
  }

  bool IsKvUnavailable() const {
    return failing_since && now - *failing_since >= policy.outage_timeout;
  }

  void Process(Shard& shard) {
    const bool idle = shard.pending.empty() && !shard.probing;
    if (idle || shard.view.busy_since() || now < shard.retry_at) {
      return;
    }
    if (!shard.view.known() || shard.view.outdated() || shard.probing) {
      commands.emplace_back(shard.view.StartRead(now, next_operation++));
      return;
    }
    if (!shard.pending.empty() &&
        now - shard.last_write_at >= policy.write_spacing) {
      Write(shard);
    }
  }

  void Write(Shard& shard) {
    const int64_t operation = next_operation++;
    ClaimRecord record = shard.view.record();
    record.Prune(wall_now - policy.retention);
    for (const Pending& entry : shard.pending) {
      AddClaim(entry.request, wall_now, record);
    }
    record.write =
        base::WriteId(self.value() + "/" + std::to_string(operation));
    platform::KvWrite write =
        shard.view.StartWrite(now, operation, std::move(record));
    if (write.value.size() > policy.max_bytes) {
      // The write is too large and was not sent.
      shard.view.Finish(platform::KvWriteDone{
          operation, platform::WriteOutcome::kNotSent, {}});
      RefuseAll(shard);
      return;
    }
    shard.last_write_at = now;
    commands.emplace_back(std::move(write));
  }

  void RefuseAll(Shard& shard) {
    for (const Pending& entry : shard.pending) {
      Refuse(entry,
             Error(ErrorKind::kOverloaded, "the record of claims is full",
                   "send the request again later"));
    }
    shard.pending.clear();
  }

  base::Incarnation self;
  ClaimPolicy policy;
  std::vector<Shard> shards;
  std::optional<Millis> failing_since;
  int64_t next_operation = 1;
  // Times and commands of the step in progress.
  Millis now;
  Millis wall_now;
  std::vector<ClaimCommand> commands;
};

ClaimWriter::ClaimWriter(base::Incarnation self, ClaimPolicy policy)
    : state_(std::make_unique<State>(std::move(self), policy)) {}

ClaimWriter::~ClaimWriter() = default;
ClaimWriter::ClaimWriter(ClaimWriter&&) noexcept = default;
ClaimWriter& ClaimWriter::operator=(ClaimWriter&&) noexcept = default;

std::vector<ClaimCommand> ClaimWriter::Step(base::Millis now,
                                            base::Millis wall_now,
                                            const ClaimEvent& event) {
  state_->now = now;
  state_->wall_now = wall_now;
  state_->commands.clear();
  std::visit([this](const auto& e) { state_->On(e); }, event);
  return std::move(state_->commands);
}

}  // namespace godwit::claims
