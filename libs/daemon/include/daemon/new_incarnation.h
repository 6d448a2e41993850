#ifndef DAEMON_NEW_INCARNATION_H_
#define DAEMON_NEW_INCARNATION_H_

#include <cstdint>

#include "base/ids.h"

namespace godwit::daemon {

// Creates an id for this incarnation of a process from the process name and 64
// random bits.
base::Incarnation NewIncarnation(const base::ProcessId& process);

// Returns a random seed that differs between processes and incarnations.
uint64_t NewSeed();

}  // namespace godwit::daemon

#endif  // DAEMON_NEW_INCARNATION_H_
