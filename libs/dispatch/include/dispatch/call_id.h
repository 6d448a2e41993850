#ifndef DISPATCH_CALL_ID_H_
#define DISPATCH_CALL_ID_H_

#include <cstdint>

namespace godwit::dispatch {

// Identifies a caller's request within this process.
using CallId = int64_t;

}  // namespace godwit::dispatch

#endif  // DISPATCH_CALL_ID_H_
