#include "telemetry/event_table.h"

#include <cstdlib>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "telemetry/metric_table.h"

#include <CppUTest/TestHarness.h>

using godwit::telemetry::EventInfo;
using godwit::telemetry::EventTable;
using godwit::telemetry::Level;
using godwit::telemetry::MetricInfo;
using godwit::telemetry::MetricTable;

namespace {

// Returns the lines of a page under docs/ that begin with `start`.
std::vector<std::string> PageLines(const std::string& page,
                                   const std::string& start) {
  const char* source = std::getenv("GODWIT_SOURCE_DIR");
  std::ifstream file(std::string(source == nullptr ? "." : source) + "/docs/" +
                     page);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(start, 0) == 0) {
      lines.push_back(line);
    }
  }
  return lines;
}

void CheckSame(const std::vector<std::string>& expected,
               const std::vector<std::string>& actual) {
  for (size_t i = 0; i < expected.size() && i < actual.size(); ++i) {
    STRCMP_EQUAL(expected[i].c_str(), actual[i].c_str());
  }
  CHECK_EQUAL(expected.size(), actual.size());
}

}  // namespace

TEST_GROUP(Catalogues){};

TEST(Catalogues, EventsAreUniqueAndSorted) {
  std::set<std::string_view> names;
  int last = 0;
  for (const EventInfo& info : EventTable()) {
    CHECK(static_cast<int>(info.id) > last);
    last = static_cast<int>(info.id);
    CHECK(names.insert(info.name).second);
    CHECK(&InfoOf(info.id) == &info);
  }
}

TEST(Catalogues, EventsPageEqualsTable) {
  std::vector<std::string> expected;
  for (const EventInfo& info : EventTable()) {
    expected.push_back("| " + std::to_string(static_cast<int>(info.id)) +
                       " | `" + std::string(info.name) + "` | " +
                       std::string(LevelName(info.level)) + " | " +
                       std::string(info.description) + " |");
  }
  std::vector<std::string> actual;
  for (const std::string& line : PageLines("EVENTS.md", "| ")) {
    if (line.find_first_of("0123456789") == 2) {
      actual.push_back(line);
    }
  }
  CheckSame(expected, actual);
}

TEST(Catalogues, AlarmsPageNamesEveryWarningAndError) {
  std::vector<std::string> expected;
  for (const EventInfo& info : EventTable()) {
    if (info.level >= Level::kWarning) {
      expected.push_back("| " + std::to_string(static_cast<int>(info.id)) +
                         " `" + std::string(info.name) + "` |");
    }
  }
  std::vector<std::string> actual;
  for (const std::string& line : PageLines("operators/alarms.md", "| ")) {
    if (line.find_first_of("0123456789") == 2) {
      actual.push_back(line.substr(0, line.find('|', 1) + 1));
    }
  }
  CheckSame(expected, actual);
}

TEST(Catalogues, MetricsAreUniqueAndInOrder) {
  std::set<std::string_view> names;
  size_t position = 0;
  for (const MetricInfo& info : MetricTable()) {
    CHECK_EQUAL(position, static_cast<size_t>(info.id));
    ++position;
    CHECK(names.insert(info.name).second);
  }
}

TEST(Catalogues, MetricsPageEqualsTable) {
  std::vector<std::string> expected;
  for (const MetricInfo& info : MetricTable()) {
    std::string labels;
    for (const auto label : info.labels) {
      labels += (labels.empty() ? "" : ", ") + std::string(label);
    }
    expected.push_back("| `" + std::string(info.name) + "` | " +
                       std::string(MetricTypeName(info.type)) + " | " +
                       std::string(info.unit) + " | " + labels + " | " +
                       std::string(info.description) + " |");
  }
  CheckSame(expected, PageLines("METRICS.md", "| `"));
}
