#ifndef LINK_FRAME_BATCH_H_
#define LINK_FRAME_BATCH_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::link {

// Size of the big-endian length that precedes each frame of a batch.
constexpr size_t kFrameLengthBytes = 4;

// Appends a frame to the WebSocket message that carries it. Frames queued at
// the same time share a message, since a message costs several times as much as
// a frame.
void AppendFrame(std::string& batch, std::string_view frame);

// Returns the frames of a WebSocket message in order, or nullopt when it ends
// inside a frame. The views are valid as long as `batch`.
std::optional<std::vector<std::string_view>> SplitFrames(
    std::string_view batch);

}  // namespace godwit::link

#endif  // LINK_FRAME_BATCH_H_
