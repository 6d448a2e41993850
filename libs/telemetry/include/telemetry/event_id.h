#ifndef TELEMETRY_EVENT_ID_H_
#define TELEMETRY_EVENT_ID_H_

#include <cstdint>

namespace godwit::telemetry {

// Type of a log entry. The values appear in log lines and in docs/EVENTS.md and
// are never reused.
enum class EventId : uint16_t {
  // Process.
  kProcessStarting = 101,
  kProcessReady = 102,
  kStopRequested = 103,
  kDrained = 104,
  kDrainBoundReached = 105,
  kProcessStopped = 106,
  kSettingsRefused = 107,
  kSettingsReloaded = 108,
  kSettingUnfilled = 109,
  // Configuration.
  kConfigInForce = 201,
  kConfigRejected = 202,
  kConfigPulled = 203,
  // Links.
  kLinkOpened = 301,
  kLinkClosed = 302,
  kLinkSilent = 303,
  kLinkRefused = 304,
  kFrameRefused = 305,
  kCertificateLoaded = 306,
  kCertificateRefused = 307,
  // Membership.
  kAgentJoined = 401,
  kAgentLeaving = 402,
  kAgentGone = 403,
  kSubsetChanged = 404,
  kVmListUnavailable = 405,
  // Requests.
  kRequestEnded = 501,
  kRequestMalformed = 502,
  kRequestResumed = 503,
  kRequestAttached = 504,
  kCallerGone = 505,
  kRunStarted = 506,
  kRunEnded = 507,
  kRunRefused = 508,
  kRequestRetried = 509,
  kRequestPlaced = 510,
  kRequestFinished = 511,
  kCallersHandedOver = 512,
  kAnswerDiscarded = 513,
  kConnectionsClosed = 514,
  // Budgets and claims.
  kGrantDrawn = 601,
  kGrantReturned = 602,
  kHolderLost = 603,
  kGrantSealed = 604,
  kGrantRecovered = 605,
  kUsageHeld = 606,
  kRecordCorrupt = 607,
  kBudgetExhausted = 608,
  kUsageHandedOver = 609,
  kClaimsWritten = 610,
  kHandOverLate = 611,
  kLedgerWritten = 612,
  kLoanAnswered = 613,
  kBudgetMerged = 614,
  // Backend servers.
  kBackendDown = 701,
  kBackendUp = 702,
  kBackendEjected = 703,
  kBackendReadmitted = 704,
  kEngineOrderDone = 705,
  kEngineOrderRefused = 706,
  kBackendRegistered = 707,
  kBackendLeaving = 708,
  kBackendGone = 709,
  kBackendLimitChanged = 710,
  kBackendBackoff = 711,
  kContentSuspected = 712,
  kContentContained = 713,
  kContentTrial = 714,
  kContentCleared = 715,
  kBackendCold = 716,
  kBackendWarm = 717,
  kBackendColdUnreadable = 718,
  kDataCentreEvacuated = 719,
  kDataCentreReturned = 720,
  kBackendLoadInvalid = 721,
  // Platform.
  kKvUnavailable = 801,
  kKvAvailable = 802,
  kKvAnswerLost = 803,
  kLeaseGranted = 804,
  kLeaseLapsed = 805,
  kPeerSilent = 806,
  kStoreEra = 807,
  kLedgerMerged = 808,
  kKvWatchUnanswered = 809,
};

}  // namespace godwit::telemetry

#endif  // TELEMETRY_EVENT_ID_H_
