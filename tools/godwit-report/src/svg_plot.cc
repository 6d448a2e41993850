#include "svg_plot.h"

#include <algorithm>
#include <cstdio>

#include "formats.h"

namespace godwit::report {
namespace {

constexpr double kWidth = 360;
constexpr double kHeight = 150;
constexpr double kLeft = 46;
constexpr double kRight = 8;
constexpr double kTop = 10;
constexpr double kBottom = 24;
constexpr double kPlotWidth = kWidth - kLeft - kRight;
constexpr double kPlotHeight = kHeight - kTop - kBottom;
// Factor for headroom above the highest value.
constexpr double kHeadroomFactor = 1.15;

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", value);
  return text;
}

std::string Line(double x1, double y1, double x2, double y2, const char* css) {
  return "<line class=\"" + std::string(css) + "\" x1=\"" + Number(x1) +
         "\" y1=\"" + Number(y1) + "\" x2=\"" + Number(x2) + "\" y2=\"" +
         Number(y2) + "\"/>";
}

std::string Label(double x,
                  double y,
                  const char* anchor,
                  const std::string& text) {
  return "<text x=\"" + Number(x) + "\" y=\"" + Number(y) +
         "\" text-anchor=\"" + anchor + "\">" + Escaped(text) + "</text>";
}

std::string Dot(double x, double y) {
  return "<circle class=\"bad\" cx=\"" + Number(x) + "\" cy=\"" + Number(y) +
         "\" r=\"2\"/>";
}

}  // namespace

std::string Escaped(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string SvgPlot(const std::string& title,
                    const std::vector<PlotPoint>& points,
                    Ratio Bucket::*ratio,
                    double allowed_share) {
  double highest = allowed_share;
  for (const PlotPoint& point : points) {
    highest = std::max(highest, (point.bucket.*ratio).bad_share());
  }
  highest = std::min(std::max(highest * kHeadroomFactor, 1e-4), 1.0);
  const auto x_of = [&](size_t index) {
    const double steps =
        std::max<double>(1, static_cast<double>(points.size()) - 1);
    return kLeft + kPlotWidth * static_cast<double>(index) / steps;
  };
  const auto y_of = [&](double share) {
    return kTop + kPlotHeight * (1 - std::min(share / highest, 1.0));
  };
  std::string svg = "<svg viewBox=\"0 0 " + Number(kWidth) + " " +
                    Number(kHeight) + "\" role=\"img\" aria-label=\"" +
                    Escaped(title) + "\"><title>" + Escaped(title) + "</title>";
  svg += Line(kLeft, y_of(0), kWidth - kRight, y_of(0), "axis");
  svg += Line(kLeft, y_of(allowed_share), kWidth - kRight, y_of(allowed_share),
              "allowed");
  svg += Label(kLeft - 4, y_of(0), "end", "0%");
  svg += Label(kLeft - 4, kTop + 8, "end", PercentText(highest));
  std::string path;
  std::string dots;
  for (size_t i = 0; i < points.size(); ++i) {
    const Ratio& value = points[i].bucket.*ratio;
    if (value.total == 0) {
      continue;
    }
    const double x = x_of(i);
    const double y = y_of(value.bad_share());
    path.append(path.empty() ? "M" : "L").append(Number(x));
    path.append(" ").append(Number(y));
    if (value.bad > 0) {
      dots += Dot(x, y);
    }
  }
  svg += "<path class=\"share\" d=\"" + path + "\"/>" + dots;
  if (!points.empty()) {
    svg += Label(kLeft, kHeight - 6, "start", TimeText(points.front().start));
    svg += Label(kWidth - kRight, kHeight - 6, "end",
                 TimeText(points.back().start));
  }
  return svg + "</svg>";
}

}  // namespace godwit::report
