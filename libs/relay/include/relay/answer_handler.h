#ifndef RELAY_ANSWER_HANDLER_H_
#define RELAY_ANSWER_HANDLER_H_

#include <cstdint>
#include <string_view>

namespace godwit::relay {

struct AnswerHead;

// Receives the answer to one request sent through an UpstreamPool. Methods are
// called on the thread of the pool; each may cancel the request.
class AnswerHandler {
 public:
  // What is known of a request that got no complete answer.
  enum class Failure : uint8_t {
    // No byte of the request can have reached the backend server.
    kNotSent,
    // The connection was closed or made no progress; the request may have run.
    kLost,
    // The received bytes are not a valid HTTP answer; the request may have run.
    kDamaged,
  };

  virtual ~AnswerHandler() = default;

  // Called with status and headers. Returns false when the answer belongs to
  // another request: it is then skipped and the next one is read.
  virtual bool OnHead(const AnswerHead& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  // The answer is complete. No further call follows.
  virtual void OnEnd() = 0;
  // The request failed without a complete answer. No further call follows.
  virtual void OnFailure(Failure failure) = 0;
};

}  // namespace godwit::relay

#endif  // RELAY_ANSWER_HANDLER_H_
