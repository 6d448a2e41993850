#include <cstdio>

#include "burn_report.h"
#include "formats.h"
#include "pages.h"

namespace godwit::report {
namespace {

std::string SourcesText(const BurnReport& report) {
  const auto total = static_cast<int64_t>(report.sources.size());
  const int64_t missing = report.missing_sources();
  std::string text = std::to_string(total - missing) + " of " +
                     std::to_string(total) + " sources read";
  text += missing == 0 ? "\n" : "; THE REPORT IS PARTIAL\n";
  for (const SourceStatus& source : report.sources) {
    if (!source.readable()) {
      text += "  " + source.name + ": " + source.error.ToString() + "\n";
    }
    if (source.damaged_lines > 0) {
      text += "  " + source.name + ": " + std::to_string(source.damaged_lines) +
              " damaged lines skipped\n";
    }
  }
  return text;
}

std::string QuantilesText(const char* name, const std::vector<double>& values) {
  if (values.empty()) {
    return "";
  }
  char text[96];
  std::snprintf(text, sizeof(text), "  %s ms: p50 %.0f  p95 %.0f  p99 %.0f\n",
                name, values[0], values[1], values[2]);
  return text;
}

std::string SeriesText(const SeriesBurn& series) {
  std::string text = "\n" + series.service;
  text += series.organisation.empty() ? "  (all organisations)\n"
                                      : "  " + series.organisation + "\n";
  text +=
      "  objective       target     good  events  budget left  fast  slow\n";
  for (const ObjectiveBurn& objective : series.objectives) {
    if (objective.ratio.total == 0) {
      continue;
    }
    char line[160];
    std::snprintf(line, sizeof(line), "  %-13s %8s %8s %7lld %12s %5s %5s\n",
                  objective.name.c_str(), PercentText(objective.target).c_str(),
                  PercentText(1 - objective.ratio.bad_share()).c_str(),
                  static_cast<long long>(objective.ratio.total),
                  PercentText(objective.budget_left).c_str(),
                  BurnText(objective.fast_burn).c_str(),
                  BurnText(objective.slow_burn).c_str());
    text += line;
  }
  text += "  answers " + std::to_string(series.answers) + ", outcome unknown " +
          std::to_string(series.outcomes_unknown) + ", tokens billed " +
          std::to_string(series.tokens) + "\n";
  for (const auto& [kind, count] : series.refusals) {
    text += "  refused, " + kind + ": " + std::to_string(count) + "\n";
  }
  if (series.maybe_false_refusals > 0) {
    text += "  of these may be false: " +
            std::to_string(series.maybe_false_refusals) + "\n";
  }
  text += QuantilesText("first token", series.first_token_ms);
  text += QuantilesText("token gap", series.token_gap_ms);
  return text;
}

}  // namespace

std::string TextPage(const BurnReport& report) {
  std::string text = "Service-level burn";
  if (report.to != base::Millis()) {
    text +=
        ", " + TimeText(report.from) + " to " + TimeText(report.to) + " UTC";
  }
  text += "\n" + SourcesText(report);
  if (!report.objectives_given) {
    text += "built-in objectives; give --config for those of the fleet\n";
  }
  if (report.series.empty()) {
    text += "no requests\n";
  }
  for (const SeriesBurn& series : report.series) {
    text += SeriesText(series);
  }
  return text;
}

}  // namespace godwit::report
