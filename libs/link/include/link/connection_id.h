#ifndef LINK_CONNECTION_ID_H_
#define LINK_CONNECTION_ID_H_

#include <cstdint>

namespace godwit::link {

// Identifies one connection within a process; never reused.
using ConnectionId = int64_t;

}  // namespace godwit::link

#endif  // LINK_CONNECTION_ID_H_
