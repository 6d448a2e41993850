#ifndef DISPATCH_TESTS_UNEVEN_SERVER_H_
#define DISPATCH_TESTS_UNEVEN_SERVER_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <vector>

#include "base/ids.h"
#include "dispatch/load_report.h"

namespace godwit::dispatch {

// A simulated server with a speed of its own, at which all work takes longer
// during some phases. It reads prompts one after the other, and keeps the
// shared parts that were used last.
class UnevenServer {
 public:
  struct Work {
    int64_t attempt = 0;
    uint64_t session = 0;
    base::Tokens shared = 0;
    base::Tokens own = 0;
    int64_t events = 0;
  };

  struct Event {
    enum class Kind : uint8_t { kAnswered, kProgressed, kEnded };
    Kind kind = Kind::kAnswered;
    int64_t attempt = 0;
    // Events of the answer so far.
    int64_t events = 1;
  };

  UnevenServer(double speed, int64_t slots, uint64_t seed);

  void Start(const Work& work);
  std::vector<Event> Advance(double step_ms);
  LoadReport Report(bool states_work_time) const;
  double speed() const { return speed_; }
  base::Tokens shared_tokens_read() const { return shared_tokens_read_; }
  // Tokens of the runs in progress; what waits holds no memory.
  base::Tokens held_tokens() const;
  base::Tokens tokens_read() const { return tokens_read_; }

 private:
  struct Run {
    Work work;
    double tokens_left = 0;
    double fixed_ms_left = 0;
    double event_ms_left = 0;
    int64_t events_left = 0;
  };

  // Returns the tokens of the shared part that have to be read.
  base::Tokens ReadShared(const Work& work);
  void Admit();

  const double speed_;
  const int64_t slots_;
  std::mt19937_64 random_;
  double phase_ms_left_ = 0;
  bool is_slow_ = true;
  std::deque<Work> queue_;
  std::list<Run> runs_;
  // Sessions whose shared part is cached, used last at the back.
  std::list<uint64_t> cached_;
  std::map<uint64_t, base::Tokens> cached_tokens_;
  base::Tokens cache_used_ = 0;
  base::Tokens shared_tokens_read_ = 0;
  base::Tokens tokens_read_ = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_TESTS_UNEVEN_SERVER_H_
