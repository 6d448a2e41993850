#ifndef PROCESS_CALL_H_
#define PROCESS_CALL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace godwit::process {

// A caller's request and what came of it so far. Core thread.
struct Call {
  std::string path;
  std::string body;
  // Idempotency-Key; none when empty.
  std::string key;
  bool repeatable = true;

  // HTTP status; 0 before it is known.
  int status = 0;
  // Body bytes received.
  std::string answer;
  // The exchange is over.
  bool ended = false;
  // It ended as HTTP says a whole answer ends.
  bool complete = false;

  bool answered() const { return complete && status == 200; }
  // The `kind` of a typed error; empty when the answer is none.
  std::string error_kind() const;
  // The answer is a typed error that states that nothing ran.
  bool not_run() const;
  // Tokens that the answer's usage states; 0 without one.
  int64_t usage() const;
};

// A streamed question to the engines, with an answer of 40 tokens.
Call Question(const std::string& question, const std::string& key);
// A call to the plain service that may not be repeated.
Call Ticket(const std::string& key);
// Questions with a key of their own each.
std::vector<Call> ManyQuestions(size_t count);

// Refused as not run, since the budget is exhausted.
bool IsExhausted(const Call& call);
// Answered, or refused since the budget is exhausted.
bool IsFinished(const Call& call);
// Tokens that the answers' usage states.
int64_t TotalUsage(const std::vector<Call>& calls);

}  // namespace godwit::process

#endif  // PROCESS_CALL_H_
