#ifndef DISPATCH_STREAM_ORIGIN_H_
#define DISPATCH_STREAM_ORIGIN_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace godwit::dispatch {

// What a router knows of the software version that began a stream.
struct StreamOrigin {
  enum class Certainty : uint8_t {
    // No server of the service is known, as shortly after the start.
    kUnknown,
    // Several versions may have begun it.
    kSeveralSeen,
    // No other version was registered since this router started, and it does
    // not know what served before.
    kOnlyOneSeen,
    // No other version was registered for longer than streams last, until this
    // router no longer followed the registry.
    kOnlyOneUnconfirmed,
    // No other version was registered for longer than streams last.
    kOnlyOneServed,
    // Recorded when it began.
    kRecorded,
  };

  Certainty certainty = Certainty::kUnknown;
  // Empty if unknown or one of several.
  std::string software_version;

  friend bool operator==(const StreamOrigin& a, const StreamOrigin& b) {
    return std::tie(a.certainty, a.software_version) ==
           std::tie(b.certainty, b.software_version);
  }
  friend bool operator!=(const StreamOrigin& a, const StreamOrigin& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_STREAM_ORIGIN_H_
