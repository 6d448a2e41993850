#include "trial.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include "clock.h"

namespace godwit::review {
namespace {

std::string MakeDirectory() {
  std::string pattern =
      std::filesystem::temp_directory_path().string() + "/godwit-review-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    std::perror("can't make a temporary directory");
    std::exit(Trial::kCouldNotRun);
  }
  return pattern;
}

const char* NameOf(Trial::Verdict verdict) {
  switch (verdict) {
    case Trial::kHeld:
      return "held";
    case Trial::kBroken:
      return "broken";
    case Trial::kCouldNotRun:
      break;
  }
  return "could not run";
}

}  // namespace

Trial::Trial(const std::string& record_file)
    : record_(record_file), directory_(MakeDirectory()), started_at_(NowMs()) {
  const char* const trouble = std::getenv("TROUBLE");
  has_trouble_ = trouble == nullptr || std::string(trouble) != "0";
  Record(has_trouble_ ? "with the disruption" : "without the disruption");
}

Trial::~Trial() {
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
}

int64_t Trial::now() const {
  return NowMs() - started_at_;
}

void Trial::Record(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  record_ << now() << " ms  " << line << '\n' << std::flush;
}

Trial::Verdict Trial::End(Verdict verdict, const std::string& reason) {
  const std::string text = std::string(NameOf(verdict)) + ": " + reason;
  Record(text);
  std::printf("%s\n", text.c_str());
  return verdict;
}

}  // namespace godwit::review
