#ifndef TELEMETRY_REQUEST_OUTCOME_H_
#define TELEMETRY_REQUEST_OUTCOME_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace godwit::telemetry {

// Final outcome of a request.
enum class RequestOutcome : uint8_t { kAnswer, kNotRun, kOutcomeUnknown };

// "answer", "not_run" or "outcome_unknown".
std::string_view RequestOutcomeName(RequestOutcome outcome) noexcept;
// Returns the outcome with that name, or nullopt for an unknown name.
std::optional<RequestOutcome> RequestOutcomeOf(std::string_view name) noexcept;

}  // namespace godwit::telemetry

#endif  // TELEMETRY_REQUEST_OUTCOME_H_
