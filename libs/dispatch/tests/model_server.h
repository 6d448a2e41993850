#ifndef DISPATCH_TESTS_MODEL_SERVER_H_
#define DISPATCH_TESTS_MODEL_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/load_report.h"

namespace godwit::dispatch {

// A simulated backend server in virtual time: a batch with a queue, sequential
// prefill that slows running streams, a prefix cache, and injected faults.
class ModelServer {
 public:
  enum class Fault : uint8_t {
    kNone,
    // Runs nothing and sends nothing.
    kUnresponsive,
    // Refuses connections.
    kRefusesConnections,
    // Answers every second run with a failure at its end.
    kFailsEverySecondRun,
    // Rejects all requests as over capacity.
    kRejectsAll,
    // Another server has its address.
    kReplaced,
  };

  struct Options {
    std::string service = "model";
    std::string data_centre = "a";
    int64_t slots = 16;
    // Multiple of the time that a server of typical speed takes.
    double slowness = 1;
    // Its answers state a load that can't be read.
    bool has_invalid_load = false;
  };

  struct Work {
    int64_t attempt = 0;
    // 0 for plain calls.
    base::Tokens uncached = 0;
    std::vector<uint64_t> parts;
    std::vector<base::Tokens> part_tokens;
    // Events of a stream; 0 for plain calls.
    int64_t events = 0;
    int64_t first_event = 1;
  };

  struct Event {
    enum class Kind : uint8_t {
      kEvent,
      kEnd,
      kRefused,
      kFailed,
      kLost,
      kNotSent,
      kInstanceMismatch
    };
    Kind kind = Kind::kEvent;
    int64_t attempt = 0;
    int64_t event = 0;
    // Empty if it can't be read.
    std::optional<LoadReport> load;
  };

  ModelServer(std::string instance, uint16_t port, Options options);

  Backend Registration() const;
  void Start(base::Millis now, Work work);
  void Cancel(int64_t attempt);
  void SetFault(Fault fault) { fault_ = fault; }
  // Terminates the server. Returns a kLost event for each run and queued
  // request.
  std::vector<Event> Crash();
  std::vector<Event> Advance(base::Millis now, base::Millis step);

  // Attempts that started to run at this server.
  const std::set<int64_t>& ran() const { return ran_; }
  int64_t running() const { return static_cast<int64_t>(running_.size()); }
  base::Tokens prefilled_tokens() const { return prefilled_tokens_; }

 private:
  struct Run {
    Work work;
    // Time until the next event or the answer.
    double remaining_ms = 0;
    bool prefilling = false;
    int64_t next_event = 1;
    int64_t last_event = 0;
  };

  Event Make(Event::Kind kind, int64_t attempt, int64_t event = 0) const;
  void Admit();

  const std::string instance_;
  const uint16_t port_;
  const Options options_;
  Fault fault_ = Fault::kNone;
  std::deque<Work> queue_;
  std::map<int64_t, Run> running_;
  std::vector<Event> due_;
  std::set<int64_t> ran_;
  std::set<uint64_t> cache_;
  base::Tokens prefilled_tokens_ = 0;
  int64_t failures_ = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_TESTS_MODEL_SERVER_H_
