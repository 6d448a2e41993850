#ifndef LINK_FRAME_BATCH_H_
#define LINK_FRAME_BATCH_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::link {

// Bytes in front of each frame of a batch: its length, most significant first.
constexpr size_t kFrameLengthBytes = 4;

// Adds a frame to the WebSocket message that carries it. Frames that wait
// together share one, since a message costs several times what a frame does.
void AppendFrame(std::string& batch, std::string_view frame);

// The frames of a WebSocket message, in order; empty when it is not made of
// whole frames. The views live as long as the message.
std::optional<std::vector<std::string_view>> SplitFrames(
    std::string_view batch);

}  // namespace godwit::link

#endif  // LINK_FRAME_BATCH_H_
