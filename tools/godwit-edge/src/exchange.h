#ifndef GODWIT_EDGE_EXCHANGE_H_
#define GODWIT_EDGE_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "dispatch/call_id.h"
#include "dispatch/dispatch_event.h"
#include "dispatch/refuse_call.h"
#include "dispatch/relay_answer.h"
#include "dispatch/start_attempt.h"
#include "relay/received_request.h"
#include "relay/stream_position.h"

namespace godwit::relay {
class CallerSession;
class UpstreamPool;
}  // namespace godwit::relay

namespace godwit::edge {

class AttemptRelay;
struct DiscardedAnswer;

// One request of a caller with its connection, and the attempt in progress at
// a backend server. Executes the dispatcher's commands for it.
class Exchange {
 public:
  // Receives the events that the exchange raises.
  class Events {
   public:
    virtual ~Events() = default;
    virtual void Raise(const dispatch::DispatchEvent& event) = 0;
    virtual void Report(const DiscardedAnswer& answer) = 0;
  };

  Exchange(dispatch::CallId call,
           std::string request_id,
           std::shared_ptr<relay::CallerSession> session,
           relay::ReceivedRequest request,
           relay::UpstreamPool& servers,
           Events& events);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Sends the request to the attempt's backend server. Cancels the attempt in
  // progress, if any.
  void Start(const dispatch::StartAttempt& attempt);
  // No effect unless the attempt is the one in progress.
  void Cancel(int64_t attempt);
  // Relays the attempt's answer to the caller. No effect unless the attempt is
  // the one in progress.
  void Relay(const dispatch::RelayAnswer& command);
  // Answers the caller with a JSON error.
  void Refuse(const dispatch::RefuseCall& refusal);
  // Closes the caller's connection, so that the caller detects that the answer
  // is incomplete.
  void Abort();
  // The caller's connection is writable again.
  void Resume();

  const std::string& request_id() const noexcept { return request_id_; }
  const relay::CallerSession* session() const noexcept {
    return session_.get();
  }

 private:
  friend class AttemptRelay;

  void ForwardToCaller(std::string_view bytes);
  void SetPaused(bool is_paused);
  // Cancels the attempt in progress and ignores its answer.
  void DropAttempt();

  const dispatch::CallId call_;
  const std::string request_id_;
  const std::shared_ptr<relay::CallerSession> session_;
  const relay::ReceivedRequest request_;
  relay::UpstreamPool& servers_;
  Events& events_;
  std::shared_ptr<AttemptRelay> attempt_;
  // What the caller has received of a stream over all attempts.
  relay::StreamPosition position_;
  // The head of an answer was sent to the caller.
  bool head_sent_ = false;
  // The answer is not read until the caller has read more of it.
  bool is_paused_ = false;
};

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_EXCHANGE_H_
