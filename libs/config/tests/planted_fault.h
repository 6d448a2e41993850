#ifndef CONFIG_TESTS_PLANTED_FAULT_H_
#define CONFIG_TESTS_PLANTED_FAULT_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace godwit::config {

// A fault that the proof must find.
enum class PlantedFault : uint8_t {
  kNone,
  // An older configuration from a peer replaces the one in force.
  kRevert,
  // A process never pulls from its peers.
  kNoPull,
  // A process serves as soon as it has any configuration.
  kServeEarly,
  // An operator takes a write without an answer as accepted.
  kAcceptUnknown,
  // An operator repeats a lost race under the version that won it.
  kOverwrite,
};

struct PlantedFaultName {
  PlantedFault fault;
  std::string_view name;
};

inline constexpr std::array<PlantedFaultName, 5> kPlantedFaults = {{
    {PlantedFault::kRevert, "revert"},
    {PlantedFault::kNoPull, "no_pull"},
    {PlantedFault::kServeEarly, "serve_early"},
    {PlantedFault::kAcceptUnknown, "accept_unknown"},
    {PlantedFault::kOverwrite, "overwrite"},
}};

}  // namespace godwit::config

#endif  // CONFIG_TESTS_PLANTED_FAULT_H_
