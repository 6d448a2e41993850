#ifndef PROCESS_OPEN_STREAMS_H_
#define PROCESS_OPEN_STREAMS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "call.h"

namespace godwit::process {

class ProcessFleet;

// Concurrently open streams, each for a different question. Core thread.
class OpenStreams {
 public:
  // Slows down the engines and starts the streams through `router`. The keys
  // start with `name`.
  OpenStreams(ProcessFleet& fleet,
              size_t router,
              const std::string& name,
              size_t count);

  // Blocks until each stream has received its first bytes; returns false if a
  // stream has ended.
  bool AwaitMidStream();
  // Restores the full speed of the engines.
  void ResumeFullSpeed();
  // Blocks until all exchanges have ended; returns false after 60 s.
  bool AwaitEnded();
  // Retries unanswered requests concurrently, starting with `router`, until all
  // are answered; returns false after 60 s.
  bool Retry(size_t router);

  // True if each stream got the complete answer to its own question.
  bool AllComplete();
  // True if each stream that ended as a complete answer got the complete answer
  // to its own question.
  bool NoPartialMarkedComplete();
  // Number of answered streams.
  size_t answered() const;
  // Sum of the answers' usage.
  int64_t usage() const;

 private:
  bool All(const std::function<bool(const Call&)>& holds) const;
  bool IsComplete(const Call& call);

  ProcessFleet& fleet_;
  std::vector<Call> calls_;
};

}  // namespace godwit::process

#endif  // PROCESS_OPEN_STREAMS_H_
