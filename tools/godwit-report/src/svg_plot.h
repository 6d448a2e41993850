#ifndef GODWIT_REPORT_SVG_PLOT_H_
#define GODWIT_REPORT_SVG_PLOT_H_

#include <string>
#include <vector>

#include "plot_point.h"

namespace godwit::report {

// Draws a line plot of the share of bad events over time, with the share
// allowed by the objective as a dashed line. `ratio` selects the plotted
// member. `title` is the accessible name of the plot.
std::string SvgPlot(const std::string& title,
                    const std::vector<PlotPoint>& points,
                    Ratio Bucket::*ratio,
                    double allowed_share);

// Escapes the special characters of HTML.
std::string Escaped(const std::string& text);

}  // namespace godwit::report

#endif  // GODWIT_REPORT_SVG_PLOT_H_
