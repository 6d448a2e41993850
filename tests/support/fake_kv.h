#ifndef SUPPORT_FAKE_KV_H_
#define SUPPORT_FAKE_KV_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/millis.h"
#include "platform/kv_read.h"
#include "platform/kv_read_done.h"
#include "platform/kv_version.h"
#include "platform/kv_write.h"
#include "platform/kv_write_done.h"

namespace godwit::support {

// Simulates the platform's KV in virtual time. Operations take effect at random
// times within the latency; the seed determines latencies and faults.
class FakeKv {
 public:
  struct Faults {
    // No operation reaches the KV.
    bool unavailable = false;
    // The KV answers each operation that it was not carried out.
    bool rejects = false;
    // Added to the latency of each request and of each answer.
    base::Millis slowness;
    // Chance in percent that a write's answer is lost after it took effect.
    int lost_answer_percent = 0;
    // Chance in percent that a write is reported as unknown and takes effect
    // later.
    int late_write_percent = 0;
    // Chance in percent that a write is reported as unknown and never takes
    // effect.
    int lost_write_percent = 0;
    // Clients whose operations do not reach the KV.
    std::set<int> partitioned_clients;
    // Injected fault: writes ignore the expected version.
    bool ignores_versions = false;
  };

  using Done = std::variant<platform::KvReadDone, platform::KvWriteDone>;
  struct Answer {
    int client = 0;
    Done done;
    // Era in which the operation took effect; empty if it may not have.
    std::optional<int64_t> era;
  };
  struct Stored {
    int64_t version = 0;
    std::string value;
  };

  explicit FakeKv(uint64_t seed) : random_(seed) {}

  Faults& faults() { return faults_; }
  const Faults& faults() const { return faults_; }
  const std::map<std::string, Stored>& stored() const { return stored_; }
  int64_t reads() const { return reads_; }
  int64_t writes() const { return writes_; }
  int64_t written_bytes() const { return written_bytes_; }

  // Stores a value as if a client had won a compare-and-swap.
  void Put(const std::string& key, std::string value) {
    Store(key, std::move(value));
  }

  // The KV states eras from now on, beginning with 1.
  void BeginEras() { era_ = 1; }
  int64_t era() const { return era_; }
  // The KV loses what was written in the last `age`, and begins a new era.
  // Operations that have not taken effect yet do so in it.
  void ReturnFromCopy(base::Millis age) {
    while (!history_.empty() && history_.back().at > now_ - age) {
      const Change& change = history_.back();
      if (change.before) {
        stored_[change.key] = *change.before;
      } else {
        stored_.erase(change.key);
      }
      history_.pop_back();
    }
    ++era_;
  }

  void Submit(base::Millis now, int client, const platform::KvRead& read) {
    ++reads_;
    if (Unreachable(client)) {
      Reply(now + kTimeout, client,
            platform::KvReadDone{read.operation, false, {}, ""});
      return;
    }
    if (faults_.rejects) {
      Reply(now + Latency(), client,
            platform::KvReadDone{read.operation, false, {}, ""});
      return;
    }
    Push(now + Latency(), Effect{client, read, Outcome::kAnswered});
  }

  void Submit(base::Millis now, int client, const platform::KvWrite& write) {
    ++writes_;
    written_bytes_ += static_cast<int64_t>(write.value.size());
    if (Unreachable(client)) {
      ReplyUnknown(now, client, write);
      return;
    }
    if (faults_.rejects) {
      Reply(now + Latency(), client,
            platform::KvWriteDone{
                write.operation, platform::WriteOutcome::kNotSent, {}});
      return;
    }
    const int percent = RandomPercent();
    int limit = faults_.lost_answer_percent;
    if (percent < limit) {
      Push(now + Latency(), Effect{client, write, Outcome::kAnswerLost});
      return;
    }
    limit += faults_.late_write_percent;
    if (percent < limit) {
      const base::Millis late(
          static_cast<int64_t>(random_() % kMaxLateWriteMs));
      Push(now + late, Effect{client, write, Outcome::kNoAnswer});
      ReplyUnknown(now, client, write);
      return;
    }
    limit += faults_.lost_write_percent;
    if (percent < limit) {
      ReplyUnknown(now, client, write);
      return;
    }
    Push(now + Latency(), Effect{client, write, Outcome::kAnswered});
  }

  // Applies the operations that are due at `now` and returns the answers that
  // are due.
  std::vector<Answer> Advance(base::Millis now) {
    now_ = now;
    while (!effects_.empty() && effects_.begin()->first <= now) {
      const base::Millis at = effects_.begin()->first;
      const Effect effect = std::move(effects_.begin()->second);
      effects_.erase(effects_.begin());
      Apply(at, effect);
    }
    std::vector<Answer> due;
    while (!answers_.empty() && answers_.begin()->first <= now) {
      due.push_back(std::move(answers_.begin()->second));
      answers_.erase(answers_.begin());
    }
    return due;
  }

 private:
  enum class Outcome { kAnswered, kAnswerLost, kNoAnswer };
  struct Change {
    base::Millis at;
    std::string key;
    std::optional<Stored> before;
  };
  struct Effect {
    int client = 0;
    std::variant<platform::KvRead, platform::KvWrite> operation;
    Outcome outcome = Outcome::kAnswered;
  };

  // Time after which a client treats an operation as unanswered.
  static constexpr base::Millis kTimeout = base::Seconds(2);
  // Upper bound of the delay of a late write.
  static constexpr uint64_t kMaxLateWriteMs = 8000;
  // Chance in percent that the answer to a lost write contains the current
  // value of the key.
  static constexpr int kCurrentValuePercent = 50;
  // Longest latency in one direction, without added slowness.
  static constexpr uint64_t kMaxLatencyMs = 4;

  bool Unreachable(int client) const {
    return faults_.unavailable ||
           faults_.partitioned_clients.count(client) != 0;
  }

  int RandomPercent() { return static_cast<int>(random_() % 100); }

  base::Millis Latency() {
    return base::Millis(static_cast<int64_t>(1 + random_() % kMaxLatencyMs)) +
           faults_.slowness;
  }

  void Push(base::Millis at, Effect effect) {
    effects_.emplace(at, std::move(effect));
  }

  void Reply(base::Millis at,
             int client,
             Done done,
             std::optional<int64_t> era = std::nullopt) {
    answers_.emplace(at, Answer{client, std::move(done), era});
  }

  platform::KvVersion VersionOf(const std::string& key) const {
    const auto found = stored_.find(key);
    return {era_, found == stored_.end() ? 0 : found->second.version};
  }

  std::string ValueOf(const std::string& key) const {
    const auto found = stored_.find(key);
    return found == stored_.end() ? "" : found->second.value;
  }

  void Store(const std::string& key, std::string value) {
    const auto found = stored_.find(key);
    const bool exists = found != stored_.end();
    if (era_ > 0) {
      history_.push_back(
          {now_, key,
           exists ? std::optional<Stored>(found->second) : std::nullopt});
    }
    Stored& entry = stored_[key];
    ++entry.version;
    entry.value = std::move(value);
  }

  void ReplyUnknown(base::Millis now,
                    int client,
                    const platform::KvWrite& write) {
    Reply(now + kTimeout, client,
          platform::KvWriteDone{
              write.operation, platform::WriteOutcome::kUnknown, {}});
  }

  void Apply(base::Millis at, const Effect& effect) {
    if (const auto* read = std::get_if<platform::KvRead>(&effect.operation)) {
      Reply(at + Latency(), effect.client,
            platform::KvReadDone{read->operation, true, VersionOf(read->key),
                                 ValueOf(read->key)},
            era_);
      return;
    }
    const auto& write = std::get<platform::KvWrite>(effect.operation);
    // The KV knows of no eras in what it is asked.
    bool won = faults_.ignores_versions ||
               VersionOf(write.key).revision == write.expected_version.revision;
    for (const platform::KvCondition& condition : write.conditions) {
      won = won &&
            VersionOf(condition.key).revision == condition.version.revision;
    }
    if (won) {
      Store(write.key, write.value);
    }
    platform::KvWriteDone done;
    done.operation = write.operation;
    if (effect.outcome == Outcome::kAnswerLost) {
      Reply(at + kTimeout, effect.client, done);
    } else if (effect.outcome == Outcome::kAnswered) {
      done.outcome =
          won ? platform::WriteOutcome::kWon : platform::WriteOutcome::kLost;
      done.version = won ? VersionOf(write.key) : platform::KvVersion();
      if (!won && RandomPercent() < kCurrentValuePercent) {
        done.current = {write.key, ValueOf(write.key), VersionOf(write.key)};
      }
      Reply(at + Latency(), effect.client, done, era_);
    }
  }

  std::mt19937_64 random_;
  Faults faults_;
  std::map<std::string, Stored> stored_;
  int64_t era_ = 0;
  // Changes since the KV states eras, for ReturnFromCopy.
  std::vector<Change> history_;
  // Time of the last call of Advance.
  base::Millis now_;
  std::multimap<base::Millis, Effect> effects_;
  std::multimap<base::Millis, Answer> answers_;
  int64_t reads_ = 0;
  int64_t writes_ = 0;
  int64_t written_bytes_ = 0;
};

}  // namespace godwit::support

#endif  // SUPPORT_FAKE_KV_H_
