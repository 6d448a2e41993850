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

// Streams of different questions that are open side by side. Core thread.
class OpenStreams {
 public:
  // Slows the engines down and begins the streams through `router`. Keys begin
  // with `name`.
  OpenStreams(ProcessFleet& fleet,
              size_t router,
              const std::string& name,
              size_t count);

  // Blocks until each stream has its first bytes; false if one has ended.
  bool AwaitMidStream();
  // Lets the engines go at full speed.
  void ResumeFullSpeed();
  // Blocks until each exchange with a caller is over.
  bool AwaitEnded();
  // Repeats those that are not answered, side by side, beginning with
  // `router`, until all are.
  bool Retry(size_t router);

  // Each is answered with the whole answer to its own question.
  bool AllComplete();
  // None that ended as a whole answer is anything else.
  bool NoPartialMarkedComplete();
  // Streams that are answered.
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
