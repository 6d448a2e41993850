#ifndef AGENT_AGENT_OPTIONS_H_
#define AGENT_AGENT_OPTIONS_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"
#include "config/service_kind.h"

namespace godwit::agent {

// Settings of an AgentCore.
struct AgentOptions {
  // This life of the agent.
  base::Incarnation incarnation;
  // What the backend server is.
  config::ServiceKind kind = config::ServiceKind::kPlain;
  // Runs at the backend server at once; positive.
  int64_t max_running = 32;
  // Runs that may wait for the backend server.
  int64_t max_queued = 256;
  // How long ended runs, refused attempts and tombstones are remembered.
  base::Millis retention = base::Seconds(600);
  // Answers of ended runs kept for replay, in bytes; beyond it the oldest are
  // dropped, and who attaches learns that the outcome is unknown.
  int64_t answer_limit_bytes = int64_t{32} * 1024 * 1024;
  // Request keys that this agent's part of the directory holds; beyond it, new
  // keys get no answer.
  int64_t directory_limit = 65536;
  // How long a run goes on, and a drain waits, for a router to attach.
  base::Millis attach_grace = base::Seconds(30);
  // Waiting for this long counts as one step of priority.
  base::Millis ageing = base::Seconds(5);
  // Answer bytes that wait for credit before the backend server is paused.
  int64_t pause_bytes = int64_t{64} * 1024;
};

}  // namespace godwit::agent

#endif  // AGENT_AGENT_OPTIONS_H_
