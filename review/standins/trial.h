#ifndef REVIEW_STANDINS_TRIAL_H_
#define REVIEW_STANDINS_TRIAL_H_

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace godwit::review {

// One run of a case: its record, its temporary directory and its verdict.
class Trial {
 public:
  // Exit codes of a case.
  enum Verdict : int { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

  explicit Trial(const std::string& record_file);
  ~Trial();
  Trial(const Trial&) = delete;
  Trial& operator=(const Trial&) = delete;

  // Adds a line with the time since the start of the trial. Safe to call from
  // any thread.
  void Record(const std::string& line);
  // Records the verdict and returns it.
  Verdict End(Verdict verdict, const std::string& reason);

  // False if the case shall run without its disruption.
  bool has_trouble() const noexcept { return has_trouble_; }
  const std::string& directory() const noexcept { return directory_; }
  // Milliseconds since the start of the trial.
  int64_t now() const;

 private:
  std::mutex mutex_;
  std::ofstream record_;
  std::string directory_;
  int64_t started_at_;
  bool has_trouble_;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_TRIAL_H_
