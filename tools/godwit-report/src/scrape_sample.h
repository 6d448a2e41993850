#ifndef GODWIT_REPORT_SCRAPE_SAMPLE_H_
#define GODWIT_REPORT_SCRAPE_SAMPLE_H_

#include <map>
#include <optional>
#include <string>

namespace godwit::report {

// One sample of the Prometheus text format.
struct ScrapeSample {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;

  // Returns nullopt if the line is not a complete sample.
  static std::optional<ScrapeSample> FromLine(const std::string& line);
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_SCRAPE_SAMPLE_H_
