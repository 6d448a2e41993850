#ifndef GODWIT_LOAD_EXPERIMENTS_H_
#define GODWIT_LOAD_EXPERIMENTS_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace godwit::load {

// A seeded experiment over the decision machines.
struct Experiment {
  std::string name;
  // Writes CSV and, as lines that start with '#', what it means.
  void (*run)(uint64_t seed, std::ostream& out);
};

// Every experiment, by name.
const std::vector<Experiment>& Experiments();

// The experiment of that name, or null.
const Experiment* FindExperiment(const std::string& name);

}  // namespace godwit::load

#endif  // GODWIT_LOAD_EXPERIMENTS_H_
