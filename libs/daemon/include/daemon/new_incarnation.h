#ifndef DAEMON_NEW_INCARNATION_H_
#define DAEMON_NEW_INCARNATION_H_

#include <cstdint>

#include "base/ids.h"

namespace godwit::daemon {

// A name for this life of a process: the process's name and 64 random bits.
base::Incarnation NewIncarnation(const base::ProcessId& process);

// A seed that differs between processes and lives.
uint64_t NewSeed();

}  // namespace godwit::daemon

#endif  // DAEMON_NEW_INCARNATION_H_
