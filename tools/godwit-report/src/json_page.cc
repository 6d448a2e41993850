#include <nlohmann/json.hpp>

#include "burn_report.h"
#include "pages.h"

namespace godwit::report {
namespace {

using nlohmann::ordered_json;

ordered_json ToJson(const std::optional<double>& value) {
  return value ? ordered_json(*value) : ordered_json(nullptr);
}

ordered_json ToJson(const ObjectiveBurn& objective) {
  ordered_json json;
  json["name"] = objective.name;
  json["target"] = objective.target;
  json["total"] = objective.ratio.total;
  json["bad"] = objective.ratio.bad;
  json["budget_left"] = objective.budget_left;
  json["fast_burn"] = ToJson(objective.fast_burn);
  json["slow_burn"] = ToJson(objective.slow_burn);
  return json;
}

ordered_json ToJson(const SeriesBurn& series) {
  ordered_json json;
  json["service"] = series.service;
  json["organisation"] = series.organisation.empty()
                             ? ordered_json(nullptr)
                             : ordered_json(series.organisation);
  json["objectives"] = ordered_json::array();
  for (const ObjectiveBurn& objective : series.objectives) {
    json["objectives"].push_back(ToJson(objective));
  }
  json["answers"] = series.answers;
  json["outcomes_unknown"] = series.outcomes_unknown;
  json["refusals"] = ordered_json::object();
  for (const auto& [kind, count] : series.refusals) {
    json["refusals"][kind] = count;
  }
  json["maybe_false_refusals"] = series.maybe_false_refusals;
  json["tokens"] = series.tokens;
  json["first_token_ms"] = series.first_token_ms;
  json["token_gap_ms"] = series.token_gap_ms;
  return json;
}

ordered_json ToJson(const SourceStatus& source) {
  ordered_json json;
  json["name"] = source.name;
  json["error"] = source.readable() ? ordered_json(nullptr)
                                    : ordered_json(source.error.ToString());
  json["requests"] = source.requests;
  json["damaged_lines"] = source.damaged_lines;
  return json;
}

}  // namespace

std::string JsonPage(const BurnReport& report) {
  ordered_json json;
  json["from_ms"] = report.from.count();
  json["to_ms"] = report.to.count();
  json["fast_window_ms"] = report.fast_window.count();
  json["slow_window_ms"] = report.slow_window.count();
  json["partial"] = report.partial();
  json["objectives_given"] = report.objectives_given;
  json["sources"] = ordered_json::array();
  for (const SourceStatus& source : report.sources) {
    json["sources"].push_back(ToJson(source));
  }
  json["series"] = ordered_json::array();
  for (const SeriesBurn& series : report.series) {
    json["series"].push_back(ToJson(series));
  }
  return json.dump(2, ' ', false, ordered_json::error_handler_t::replace) +
         "\n";
}

}  // namespace godwit::report
