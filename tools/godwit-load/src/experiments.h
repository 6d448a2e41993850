#ifndef GODWIT_LOAD_EXPERIMENTS_H_
#define GODWIT_LOAD_EXPERIMENTS_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace godwit::load {

// A seeded experiment with the decision code.
struct Experiment {
  std::string name;
  // Writes CSV, and explanations in lines that start with '#'.
  void (*run)(uint64_t seed, std::ostream& out);
};

// All experiments.
const std::vector<Experiment>& Experiments();

// Returns the experiment with that name, or null.
const Experiment* FindExperiment(const std::string& name);

}  // namespace godwit::load

#endif  // GODWIT_LOAD_EXPERIMENTS_H_
