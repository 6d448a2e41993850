#ifndef FLEET_INJECTED_FAULT_H_
#define FLEET_INJECTED_FAULT_H_

namespace godwit::fleet {

// Defects that the simulation tests must detect.
enum class InjectedFault {
  kNone,
  // The KV stores writes regardless of the version that they expect.
  kKvIgnoresVersions,
  // The directory reports every attempt as the owner of its key.
  kDirectoryAcceptsEveryOwner,
  // Agents report attempts as tombstoned that are running or have run.
  kFalseTombstones,
  // Agents report no usage of sealed grants.
  kUsageOmitted,
  // Answers arrive with different bytes and a digest that matches these.
  kAnswersReplaced,
  // Agents execute each run twice.
  kDuplicateExecution,
  // Agents that leave abort their runs.
  kDrainAbortsRuns,
};

}  // namespace godwit::fleet

#endif  // FLEET_INJECTED_FAULT_H_
