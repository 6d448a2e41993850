#ifndef SUPPORT_FAKE_KV_H_
#define SUPPORT_FAKE_KV_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/millis.h"
#include "platform/kv_read.h"
#include "platform/kv_read_done.h"
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
    Stored& entry = stored_[key];
    ++entry.version;
    entry.value = std::move(value);
  }

  void Submit(base::Millis now, int client, const platform::KvRead& read) {
    ++reads_;
    if (Unreachable(client)) {
      Reply(now + kTimeout, client,
            platform::KvReadDone{read.operation, false, 0, ""});
      return;
    }
    if (faults_.rejects) {
      Reply(now + Latency(), client,
            platform::KvReadDone{read.operation, false, 0, ""});
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
            platform::KvWriteDone{write.operation,
                                  platform::WriteOutcome::kNotSent, 0});
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

  void Reply(base::Millis at, int client, Done done) {
    answers_.emplace(at, Answer{client, std::move(done)});
  }

  void ReplyUnknown(base::Millis now,
                    int client,
                    const platform::KvWrite& write) {
    Reply(now + kTimeout, client,
          platform::KvWriteDone{write.operation,
                                platform::WriteOutcome::kUnknown, 0});
  }

  void Apply(base::Millis at, const Effect& effect) {
    if (const auto* read = std::get_if<platform::KvRead>(&effect.operation)) {
      const Stored& entry = stored_[read->key];
      Reply(at + Latency(), effect.client,
            platform::KvReadDone{read->operation, true, entry.version,
                                 entry.value});
      return;
    }
    const auto& write = std::get<platform::KvWrite>(effect.operation);
    Stored& entry = stored_[write.key];
    bool won =
        faults_.ignores_versions || entry.version == write.expected_version;
    for (const platform::KvCondition& condition : write.conditions) {
      won = won && stored_[condition.key].version == condition.version;
    }
    if (won) {
      ++entry.version;
      entry.value = write.value;
    }
    Answer answer{effect.client, platform::KvWriteDone{}};
    auto& done = std::get<platform::KvWriteDone>(answer.done);
    done.operation = write.operation;
    if (effect.outcome == Outcome::kAnswerLost) {
      Reply(at + kTimeout, effect.client, done);
    } else if (effect.outcome == Outcome::kAnswered) {
      done.outcome =
          won ? platform::WriteOutcome::kWon : platform::WriteOutcome::kLost;
      done.version = won ? entry.version : 0;
      if (!won && RandomPercent() < kCurrentValuePercent) {
        done.current = {write.key, entry.value, entry.version};
      }
      Reply(at + Latency(), effect.client, done);
    }
  }

  std::mt19937_64 random_;
  Faults faults_;
  std::map<std::string, Stored> stored_;
  std::multimap<base::Millis, Effect> effects_;
  std::multimap<base::Millis, Answer> answers_;
  int64_t reads_ = 0;
  int64_t writes_ = 0;
  int64_t written_bytes_ = 0;
};

}  // namespace godwit::support

#endif  // SUPPORT_FAKE_KV_H_
