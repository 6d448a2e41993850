#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "cli/command_line.h"
#include "experiments.h"
#include "slopes.h"

DEFINE_uint64(seed, 1, "seed of an experiment");
DEFINE_string(out, "", "file to write to instead of the standard output");

namespace godwit::load {
namespace {

constexpr char kHelp[] =
    R"(godwit-load: load and experiments for a godwitlatch fleet

usage: godwit-load experiment NAME [--seed=N] [--out=FILE]
       godwit-load slopes [--out=FILE]

commands:
  experiment budgets   the grant policy against three naive versions, in
                       virtual time
  experiment routing   the routing policy against round robin and least in
                       flight, in virtual time
  slopes               bytes, processor time and memory of records, messages
                       and open requests at three sizes each

options:
  --seed=N      seed of the experiment; the same seed gives the same output
                (default 1)
  --out=FILE    write to this file instead of the standard output
  --help        print this text

The output is CSV with a header line; lines that start with '#' say what was
measured against which target.

exit codes: 0 done, 1 failed, 2 wrong command line
)";

constexpr int kFailedExitCode = 1;

int Fail(const base::Error& error, int exit_code) {
  std::fprintf(stderr, "%s\n", error.ToString().c_str());
  return exit_code;
}

int UsageError(const std::string& message, const std::string& remedy) {
  return Fail(base::Error(base::ErrorKind::kInvalidArgument, message, remedy),
              cli::kUsageExitCode);
}

std::string Names() {
  std::string names;
  for (const Experiment& experiment : Experiments()) {
    names += (names.empty() ? "" : ", ") + experiment.name;
  }
  return names;
}

int RunTo(const Experiment& experiment, std::ostream& out) {
  experiment.run(FLAGS_seed, out);
  out.flush();
  if (out) {
    return 0;
  }
  return Fail(
      base::Error(base::ErrorKind::kUnavailable, "the output can't be written",
                  "free space, or choose another place by --out"),
      kFailedExitCode);
}

int RunToChosenOutput(const Experiment& experiment) {
  if (FLAGS_out.empty()) {
    return RunTo(experiment, std::cout);
  }
  std::ofstream file(FLAGS_out);
  if (!file) {
    return Fail(base::Error(base::ErrorKind::kInvalidArgument,
                            "--out: " + FLAGS_out + " can't be written",
                            "name a file in a directory that you may write"),
                kFailedExitCode);
  }
  return RunTo(experiment, file);
}

int Execute(const std::vector<std::string>& words) {
  if (words == std::vector<std::string>{"slopes"}) {
    return RunToChosenOutput(Experiment{"slopes", RunSlopes});
  }
  if (words.size() != 2 || words[0] != "experiment") {
    return UsageError("there is no such command", "run `godwit-load --help`");
  }
  const Experiment* experiment = FindExperiment(words[1]);
  if (experiment == nullptr) {
    return UsageError("there is no experiment \"" + words[1] + "\"",
                      "choose one of: " + Names());
  }
  return RunToChosenOutput(*experiment);
}

}  // namespace
}  // namespace godwit::load

int main(int argc, char** argv) {
  godwit::cli::CommandLine line;
  const auto words = line.Parse(argc, argv);
  if (line.help()) {
    std::fputs(godwit::load::kHelp, stdout);
    return 0;
  }
  if (!words) {
    return godwit::load::Fail(line.last_error(), godwit::cli::kUsageExitCode);
  }
  return godwit::load::Execute(*words);
}
