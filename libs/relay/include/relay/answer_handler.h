#ifndef RELAY_ANSWER_HANDLER_H_
#define RELAY_ANSWER_HANDLER_H_

#include <cstdint>
#include <string_view>

namespace godwit::relay {

struct AnswerHead;

// Receives the answer to one request sent through an UpstreamPool. Calls come
// from the pool's thread; each may cancel the request.
class AnswerHandler {
 public:
  // What can be said of a request that got no whole answer.
  enum class Failure : uint8_t {
    // No byte of it can have reached the backend server.
    kNotSent,
    // The connection closed or showed no progress; it may have run.
    kLost,
    // The bytes received are no answer, or a damaged one; it may have run.
    kDamaged,
  };

  virtual ~AnswerHandler() = default;

  // Status and headers. False when the answer belongs to another request: it
  // is then skipped and the next one read.
  virtual bool OnHead(const AnswerHead& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  // The answer is whole. The last call.
  virtual void OnEnd() = 0;
  // There will be no whole answer. The last call.
  virtual void OnFailure(Failure failure) = 0;
};

}  // namespace godwit::relay

#endif  // RELAY_ANSWER_HANDLER_H_
