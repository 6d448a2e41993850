#ifndef CONFIG_TESTS_INJECTED_FAULT_H_
#define CONFIG_TESTS_INJECTED_FAULT_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace godwit::config {

// A fault that the proof must find.
enum class InjectedFault : uint8_t {
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

struct InjectedFaultName {
  InjectedFault fault;
  std::string_view name;
};

inline constexpr std::array<InjectedFaultName, 5> kInjectedFaults = {{
    {InjectedFault::kRevert, "revert"},
    {InjectedFault::kNoPull, "no_pull"},
    {InjectedFault::kServeEarly, "serve_early"},
    {InjectedFault::kAcceptUnknown, "accept_unknown"},
    {InjectedFault::kOverwrite, "overwrite"},
}};

}  // namespace godwit::config

#endif  // CONFIG_TESTS_INJECTED_FAULT_H_
