#ifndef PROCESS_CALL_H_
#define PROCESS_CALL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace godwit::process {

// A caller's request and the state of its answer. Core thread.
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
  // True if the answer ended as HTTP requires of a complete answer.
  bool complete = false;

  bool answered() const { return complete && status == 200; }
  // The `kind` of a typed error; empty if the answer is not a typed error.
  std::string error_kind() const;
  // True if the answer is a typed error that states that the request did not
  // run.
  bool not_run() const;
  // Tokens that the usage in the answer states; 0 without usage.
  int64_t usage() const;
};

// A streamed question to the engines, with an answer of 40 tokens.
Call Question(const std::string& question, const std::string& key);
// A call to the plain service that must not be repeated.
Call Ticket(const std::string& key);
// Questions, each with a key of its own.
std::vector<Call> ManyQuestions(size_t count);

// Refused without running because the budget is exhausted.
bool IsExhausted(const Call& call);
// Answered, or refused because the budget is exhausted.
bool IsFinished(const Call& call);
// Total tokens that the usage in the answers states.
int64_t TotalUsage(const std::vector<Call>& calls);

}  // namespace godwit::process

#endif  // PROCESS_CALL_H_
