#ifndef FLEET_PLANTED_H_
#define FLEET_PLANTED_H_

namespace godwit::fleet {

// Defects that the proofs have to catch.
enum class Planted {
  kNone,
  // The KV stores writes whatever version they expect.
  kKvIgnoresVersions,
  // The directory makes every attempt the owner of its key.
  kDirectoryForgets,
  // Agents call an attempt tombstoned that runs or ran.
  kTombstonesLie,
  // Agents report no usage of sealed grants.
  kUsageLost,
  // Answers arrive with other bytes and a digest to match.
  kAnswersCrossed,
  // Agents execute a run twice.
  kRunsTwice,
  // Agents that leave cut their runs off.
  kDrainCuts,
};

}  // namespace godwit::fleet

#endif  // FLEET_PLANTED_H_
