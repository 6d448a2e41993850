#ifndef REVIEW_STANDINS_2_DEPLOYMENT_H_
#define REVIEW_STANDINS_2_DEPLOYMENT_H_

#include <cstdint>

namespace godwit::review {

// Figures of the small deployment lantern-kiosk.
inline constexpr int kRouters = 5;
inline constexpr int kEngineSlots = 64;
inline constexpr int kTokensPerEvent = 4;
inline constexpr int kHeartbeatMs = 1200;
inline constexpr int64_t kStabilityWindowMs = 3000;
inline constexpr int64_t kGraceMs = 8000;

// Prefixes of the routes to the model engines and to the booking application.
inline constexpr char kChatPath[] = "/chat/";
inline constexpr char kDeskPath[] = "/desk/";

// Each request of the cases.
inline constexpr int kEvents = 6;
inline constexpr int64_t kInputTokens = 900;
inline constexpr int64_t kMaxOutputTokens = kEvents * kTokensPerEvent;
inline constexpr int64_t kDeadlineMs = 6000;
inline constexpr int64_t kDeskDeadlineMs = 1500;

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_2_DEPLOYMENT_H_
