#ifndef GODWIT_EDGE_ATTEMPT_RELAY_H_
#define GODWIT_EDGE_ATTEMPT_RELAY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "relay/answer_handler.h"
#include "relay/answer_head.h"
#include "relay/event_framer.h"

namespace godwit::dispatch {
enum class AttemptFailure : uint8_t;
struct StartAttempt;
}  // namespace godwit::dispatch

namespace godwit::edge {

class Exchange;

// Receives the answer to one attempt. A short answer is buffered until it is
// complete, and a stream until its first event, so that the dispatcher can
// still choose another backend server.
class AttemptRelay : public relay::AnswerHandler,
                     public std::enable_shared_from_this<AttemptRelay> {
 public:
  AttemptRelay(Exchange& exchange, const dispatch::StartAttempt& attempt);

  // The exchange no longer needs this attempt; later answers are ignored.
  void Detach() { exchange_ = nullptr; }
  // Forwards the buffered bytes to the caller, and all later ones as they
  // arrive.
  void Relay(bool may_have_run_before);

  int64_t attempt() const noexcept { return attempt_; }
  // Id of the upstream pool's request, for cancelling it.
  int64_t upstream = 0;

  bool OnHead(const relay::AnswerHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnEnd() override;
  void OnFailure(Failure failure) override;

 private:
  void OnStreamBody(std::string_view bytes);
  // `ready`: the events that are now complete, or comments alone.
  void OnEvents(std::string_view ready);
  void OnComments(std::string_view ready, bool repeats_event);
  // Ends the attempt, whose answer can't be used further.
  void Break(dispatch::AttemptFailure failure);
  // Reports the answer to the dispatcher. False if it does not relay it.
  bool ReportAnswer(bool complete);
  void ReportReceived(bool repeats_event);

  Exchange* exchange_;
  const int64_t attempt_;
  // Instance of the server.
  const std::string backend_;
  // The route's answers are streams, and this answer is one.
  const bool is_stream_;
  bool is_event_stream_ = false;
  relay::EventFramer framer_;
  std::optional<relay::AnswerHead> head_;
  std::string buffered_;
  bool reported_ = false;
  bool relaying_ = false;
  bool complete_ = false;
};

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_ATTEMPT_RELAY_H_
