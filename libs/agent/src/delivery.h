#ifndef AGENT_DELIVERY_H_
#define AGENT_DELIVERY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "agent/agent_command.h"
#include "agent/agent_options.h"
#include "base/ids.h"
#include "base/millis.h"
#include "link/attach_run.h"
#include "link/connection_id.h"
#include "link/message.h"
#include "run.h"
#include "stream/answer_store.h"

namespace godwit::agent {

// Sends the state of runs to routers, and the answers within the credit of each
// attached link.
class Delivery {
 public:
  Delivery(const AgentOptions& options, std::vector<AgentCommand>& commands);

  void AddLink(link::ConnectionId connection, const base::Incarnation& peer);
  void RemoveLink(link::ConnectionId connection);
  bool HasLink(link::ConnectionId connection) const;
  // Incarnation of the peer; empty if there is no such link.
  base::Incarnation PeerOf(link::ConnectionId connection) const;

  void Send(link::ConnectionId connection, link::Message message);
  // Sends RunState in answer to a query.
  void SendState(link::ConnectionId connection, const Run& run);

  // Attaches a further link to the answer, from an offset on.
  void Attach(Run& run,
              link::ConnectionId connection,
              const link::AttachRun& attach);
  // Detaches a link from the answer.
  void Detach(base::Millis now, Run& run, link::ConnectionId connection);
  // Sends a message to every reader.
  void SendToReaders(const Run& run, const link::Message& message);
  // Sends the answer bytes that the credit allows; pauses or resumes the
  // backend server accordingly.
  void SendAvailable(Run& run);
  // Notifies the readers, and all links of the router that started the run, of
  // how it ended.
  void AnnounceEnd(Run& run);

  // Sends the outcome of a run, without the bytes of its answer.
  void SendOutcome(link::ConnectionId connection, const Run& run);

  stream::AnswerStore& answers() noexcept { return answers_; }
  const stream::AnswerStore& answers() const noexcept { return answers_; }

 private:
  void SendToReader(Run& run,
                    link::ConnectionId connection,
                    Reader& reader,
                    const stream::AnswerBuffer& answer);
  void UpdateBackendPause(Run& run, int64_t waiting_bytes);

  const AgentOptions& options_;
  std::vector<AgentCommand>& commands_;
  stream::AnswerStore answers_;
  // Ordered, so that the commands are deterministic.
  std::map<link::ConnectionId, base::Incarnation> links_;
};

}  // namespace godwit::agent

#endif  // AGENT_DELIVERY_H_
