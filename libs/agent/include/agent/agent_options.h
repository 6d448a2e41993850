#ifndef AGENT_AGENT_OPTIONS_H_
#define AGENT_AGENT_OPTIONS_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"
#include "config/service_kind.h"

namespace godwit::agent {

// Settings of an AgentCore.
struct AgentOptions {
  // Incarnation of this agent process.
  base::Incarnation incarnation;
  // Kind of service that the backend server provides.
  config::ServiceKind kind = config::ServiceKind::kPlain;
  // Maximum number of concurrent runs at the backend server; positive.
  int64_t max_running = 32;
  // Maximum number of runs that wait for the backend server.
  int64_t max_queued = 256;
  // Time for which ended runs, refused attempts and tombstones are remembered.
  base::Millis retention = base::Seconds(600);
  // Maximum size in bytes of the answers of ended runs that are kept for
  // replay. Beyond it the oldest are dropped, and a router that attaches to
  // such a run receives RunFailed with kOutcomeUnknown.
  int64_t answer_limit_bytes = int64_t{32} * 1024 * 1024;
  // Maximum number of request keys in this agent's shard of the directory.
  // Beyond it, new keys get no answer.
  int64_t directory_limit = 65536;
  // Time for which a run continues, and a drain waits, while no router is
  // attached.
  base::Millis attach_grace = base::Seconds(30);
  // Waiting for this long raises the effective priority of a run by one.
  base::Millis ageing = base::Seconds(5);
  // Number of answer bytes waiting for credit at which the backend server is
  // paused.
  int64_t pause_bytes = int64_t{64} * 1024;
};

}  // namespace godwit::agent

#endif  // AGENT_AGENT_OPTIONS_H_
