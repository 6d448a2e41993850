#include "base/error_kind.h"

#include <array>

namespace godwit::base {
namespace {

constexpr std::array<std::string_view, 25> kNames = {
    "none",
    "invalid_argument",
    "malformed",
    "too_large",
    "unauthenticated",
    "forbidden",
    "not_found",
    "conflict",
    "key_reused",
    "budget_exhausted",
    "budget_unavailable",
    "rate_limited",
    "overloaded",
    "deadline_exceeded",
    "unavailable",
    "dependency_down",
    "leaving",
    "outcome_unknown",
    "backend_failed",
    "corrupt",
    "protocol",
    "stale",
    "cancelled",
    "internal",
    "contained",
};

}  // namespace

std::string_view ErrorKindName(ErrorKind kind) noexcept {
  const auto index = static_cast<size_t>(kind);
  return index < kNames.size() ? kNames[index] : "unknown";
}

}  // namespace godwit::base
