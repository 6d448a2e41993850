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

// Sends what routers are to know of runs, and their answers within the credit
// of the link that each is attached to.
class Delivery {
 public:
  Delivery(const AgentOptions& options, std::vector<AgentCommand>& commands);

  void AddLink(link::ConnectionId connection, const base::Incarnation& peer);
  void RemoveLink(link::ConnectionId connection);
  bool HasLink(link::ConnectionId connection) const;
  // Life of the peer; empty without the link.
  base::Incarnation PeerOf(link::ConnectionId connection) const;

  void Send(link::ConnectionId connection, link::Message message);
  // RunState, as an answer to a question.
  void SendState(link::ConnectionId connection, const Run& run);

  // Lets the answer go to a link, too, from an offset on.
  void Attach(Run& run,
              link::ConnectionId connection,
              const link::AttachRun& attach);
  // The link takes no more of the answer.
  void Detach(base::Millis now, Run& run, link::ConnectionId connection);
  // Sends to every reader.
  void SendToReaders(const Run& run, const link::Message& message);
  // Sends what the credit allows; pauses and resumes the backend server.
  void SendAvailable(Run& run);
  // Tells the readers, and all links of the router that started the run, how it
  // ended.
  void AnnounceEnd(Run& run);

  // Sends how a run ended, the bytes of its answer apart.
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
  // Ordered, so that commands are deterministic.
  std::map<link::ConnectionId, base::Incarnation> links_;
};

}  // namespace godwit::agent

#endif  // AGENT_DELIVERY_H_
