#ifndef FLEET_INJECTED_FAULT_H_
#define FLEET_INJECTED_FAULT_H_

namespace godwit::fleet {

// Defects that the proofs have to catch.
enum class InjectedFault {
  kNone,
  // The KV stores writes whatever version they expect.
  kKvIgnoresVersions,
  // The directory makes every attempt the owner of its key.
  kDirectoryAcceptsEveryOwner,
  // Agents call an attempt tombstoned that runs or ran.
  kFalseTombstones,
  // Agents report no usage of sealed grants.
  kUsageOmitted,
  // Answers arrive with other bytes and a digest to match.
  kAnswersReplaced,
  // Agents execute a run twice.
  kDuplicateExecution,
  // Agents that leave cut their runs off.
  kDrainAbortsRuns,
};

}  // namespace godwit::fleet

#endif  // FLEET_INJECTED_FAULT_H_
