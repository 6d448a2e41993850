#include <array>
#include <cstdio>

#include "burn_report.h"
#include "formats.h"
#include "pages.h"
#include "svg_plot.h"

namespace godwit::report {
namespace {

constexpr char kStyle[] = R"(
:root{color-scheme:light}
body{font:16px/1.45 system-ui,sans-serif;margin:0 auto;padding:16px;
max-width:860px;color:#1b1f24;background:#fff}
h1{font-size:1.4rem;margin:0 0 4px}h2{font-size:1.2rem;margin:28px 0 4px;
border-top:2px solid #1b1f24;padding-top:10px}h3{font-size:1rem;margin:18px 0 4px}
p{margin:4px 0}.note{background:#fff3cd;border:1px solid #8a6d00;padding:8px}
.scroll{overflow-x:auto}table{border-collapse:collapse;width:100%;
font-variant-numeric:tabular-nums}
th,td{padding:4px 8px;border-bottom:1px solid #c6ccd2;text-align:right}
th:first-child,td:first-child{text-align:left}
.plots{display:flex;flex-wrap:wrap;gap:12px}figure{margin:0;flex:1 1 320px;
break-inside:avoid}figcaption{font-size:.85rem;color:#444}
svg{width:100%;height:auto;font-size:11px}svg text{fill:#444}
.axis{stroke:#8a939c}.allowed{stroke:#8a3b00;stroke-dasharray:5 4}
.share{fill:none;stroke:#0b5cad;stroke-width:1.6}.bad{fill:#b3261e}
.over{color:#b3261e;font-weight:700}
details{margin:8px 0}summary{cursor:pointer}
@media print{body{max-width:none;padding:0;font-size:11pt}
h2,table,figure{break-inside:avoid}.scroll{overflow:visible}}
)";

struct PlotKind {
  const char* title;
  Ratio Bucket::*ratio;
};

constexpr std::array<PlotKind, 3> kPlots = {{
    {"Failed requests", &Bucket::availability},
    {"First token too late", &Bucket::first_token},
    {"Tokens too far apart", &Bucket::token_gap},
}};

std::string Cell(const std::string& text) {
  return "<td>" + Escaped(text) + "</td>";
}

std::string BudgetCell(double budget_left) {
  const std::string text = PercentText(budget_left);
  return budget_left < 0 ? "<td class=\"over\">" + text + "</td>" : Cell(text);
}

std::string BurnCell(const std::optional<double>& burn) {
  const bool over = burn && *burn > 1;
  return over ? "<td class=\"over\">" + BurnText(burn) + "</td>"
              : Cell(BurnText(burn));
}

std::string ObjectivesTable(const SeriesBurn& series) {
  std::string html =
      "<div class=\"scroll\"><table><tr><th>Objective</th><th>Target</th>"
      "<th>Good</th><th>Events</th><th>Budget left</th><th>Fast burn</th>"
      "<th>Slow burn</th></tr>";
  for (const ObjectiveBurn& objective : series.objectives) {
    if (objective.ratio.total == 0) {
      continue;
    }
    html += "<tr>" + Cell(objective.name) +
            Cell(PercentText(objective.target)) +
            Cell(PercentText(1 - objective.ratio.bad_share())) +
            Cell(std::to_string(objective.ratio.total)) +
            BudgetCell(objective.budget_left) + BurnCell(objective.fast_burn) +
            BurnCell(objective.slow_burn) + "</tr>";
  }
  return html + "</table></div>";
}

std::string QuantilesText(const char* name, const std::vector<double>& values) {
  if (values.empty()) {
    return "";
  }
  char text[128];
  std::snprintf(text, sizeof(text),
                "<p>%s: p50 %.0f ms, p95 %.0f ms, p99 %.0f ms</p>", name,
                values[0], values[1], values[2]);
  return text;
}

std::string CountsText(const SeriesBurn& series) {
  std::string html = "<p>" + std::to_string(series.answers) + " answers, " +
                     std::to_string(series.outcomes_unknown) +
                     " with unknown outcome, " + std::to_string(series.tokens) +
                     " tokens billed</p>";
  html += QuantilesText("First token", series.first_token_ms);
  html += QuantilesText("Token gap", series.token_gap_ms);
  if (series.refusals.empty()) {
    return html;
  }
  html += "<p>Refused:";
  const char* separator = " ";
  for (const auto& [kind, count] : series.refusals) {
    html += separator + Escaped(kind) + " " + std::to_string(count);
    separator = ", ";
  }
  html += "; may be false: " + std::to_string(series.maybe_false_refusals);
  return html + "</p>";
}

std::string Plots(const SeriesBurn& series) {
  std::string html = "<div class=\"plots\">";
  for (size_t i = 0; i < kPlots.size(); ++i) {
    const ObjectiveBurn& objective = series.objectives[i];
    if (series.points.empty() || objective.ratio.total == 0) {
      continue;
    }
    const double allowed = 1 - objective.target;
    html += "<figure>" +
            SvgPlot(kPlots[i].title, series.points, kPlots[i].ratio, allowed) +
            "<figcaption>" + kPlots[i].title +
            "; dashed: " + PercentText(allowed) +
            " allowed</figcaption></figure>";
  }
  return html + "</div>";
}

std::string SeriesHtml(const SeriesBurn& series) {
  if (series.organisation.empty()) {
    return "<h2>" + Escaped(series.service) + "</h2>" +
           ObjectivesTable(series) + CountsText(series) + Plots(series);
  }
  return "<h3>" + Escaped(series.organisation) + "</h3>" +
         ObjectivesTable(series) + CountsText(series);
}

std::string SourcesHtml(const BurnReport& report) {
  const auto total = static_cast<int64_t>(report.sources.size());
  const int64_t missing = report.missing_sources();
  std::string html = "<p>" + std::to_string(total - missing) + " of " +
                     std::to_string(total) + " sources read</p>";
  if (!report.partial()) {
    return html;
  }
  html += "<div class=\"note\"><strong>This report is partial.</strong>";
  for (const SourceStatus& source : report.sources) {
    if (!source.readable()) {
      html += "<p>" + Escaped(source.name + ": " + source.error.ToString()) +
              "</p>";
    }
    if (source.damaged_lines > 0) {
      html += "<p>" + Escaped(source.name) + ": " +
              std::to_string(source.damaged_lines) +
              " damaged lines skipped</p>";
    }
  }
  return html + "</div>";
}

int64_t Hours(base::Millis span) {
  return span.count() / base::Seconds(3600).count();
}

int64_t Minutes(base::Millis span) {
  return span.count() / base::Seconds(60).count();
}

std::string WindowText(base::Millis window) {
  const int64_t hours = Hours(window);
  return hours > 0 && Minutes(window) == hours * 60
             ? std::to_string(hours) + " h"
             : std::to_string(Minutes(window)) + " min";
}

}  // namespace

std::string HtmlPage(const BurnReport& report) {
  std::string html =
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">"
      "<title>Service-level burn</title><style>";
  html += kStyle;
  html += "</style></head><body><h1>Service-level burn</h1>";
  if (report.to != base::Millis()) {
    html += "<p>" + TimeText(report.from) + " to " + TimeText(report.to) +
            " UTC</p>";
  }
  html += SourcesHtml(report);
  if (!report.objectives_given) {
    html += "<p>Built-in objectives; give --config for those of the fleet.</p>";
  }
  html += "<p>Burn 1x spends the error budget exactly; fast over " +
          WindowText(report.fast_window) + ", slow over " +
          WindowText(report.slow_window) + ".</p>";
  for (const SeriesBurn& series : report.series) {
    html += SeriesHtml(series);
  }
  if (report.series.empty()) {
    html += "<p>No requests.</p>";
  }
  return html + "</body></html>\n";
}

}  // namespace godwit::report
