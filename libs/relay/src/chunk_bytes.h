#ifndef RELAY_CHUNK_BYTES_H_
#define RELAY_CHUNK_BYTES_H_

#include <cstddef>

namespace godwit::relay {

// Bytes of the last chunk, "0\r\n\r\n". Beast asserts that it never sees a part
// of one twice, so a chunked body is given to it by at least this many bytes;
// more always follow.
inline constexpr size_t kMinChunkBytes = 5;

}  // namespace godwit::relay

#endif  // RELAY_CHUNK_BYTES_H_
