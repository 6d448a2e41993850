#ifndef CONFIG_TESTS_INJECTED_FAULT_H_
#define CONFIG_TESTS_INJECTED_FAULT_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace godwit::config {

// A fault that the fuzz test must detect.
enum class InjectedFault : uint8_t {
  kNone,
  // An older configuration from a peer replaces the active one.
  kRevert,
  // A process never pulls from its peers.
  kNoPull,
  // A process serves as soon as it has any configuration.
  kServeEarly,
  // An operator treats a write without an answer as accepted.
  kAcceptUnknown,
  // An operator repeats a write that lost a race, with the winner's version as
  // the expected one.
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
