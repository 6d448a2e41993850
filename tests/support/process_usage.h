#ifndef SUPPORT_PROCESS_USAGE_H_
#define SUPPORT_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>

namespace godwit::support {

// Largest resident memory of a process so far, in KiB; 0 if it has ended.
int64_t PeakMemoryKib(pid_t process);

// Number of open file descriptors of a process; 0 if it has ended.
size_t OpenDescriptors(pid_t process);

}  // namespace godwit::support

#endif  // SUPPORT_PROCESS_USAGE_H_
