#ifndef RELAY_CHUNK_BYTES_H_
#define RELAY_CHUNK_BYTES_H_

#include <cstddef>

namespace godwit::relay {

// Size of the last chunk, "0\r\n\r\n". Beast asserts that it is never given
// part of the last chunk twice, so a chunked body is passed to it only when at
// least this many bytes are available; as many always follow.
inline constexpr size_t kMinChunkBytes = 5;

}  // namespace godwit::relay

#endif  // RELAY_CHUNK_BYTES_H_
