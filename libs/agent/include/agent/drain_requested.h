#ifndef AGENT_DRAIN_REQUESTED_H_
#define AGENT_DRAIN_REQUESTED_H_

namespace godwit::agent {

// The process shall end: refuse new runs, finish those that run.
struct DrainRequested {
  friend bool operator==(const DrainRequested& /*a*/,
                         const DrainRequested& /*b*/) {
    return true;
  }
  friend bool operator!=(const DrainRequested& /*a*/,
                         const DrainRequested& /*b*/) {
    return false;
  }
};

}  // namespace godwit::agent

#endif  // AGENT_DRAIN_REQUESTED_H_
