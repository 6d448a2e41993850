#ifndef GODWIT_REPORT_SVG_PLOT_H_
#define GODWIT_REPORT_SVG_PLOT_H_

#include <string>
#include <vector>

#include "plot_point.h"

namespace godwit::report {

// A line plot of the share of bad events over time, with the share that the
// objective allows as a dashed line. `ratio` picks what is plotted. `title`
// describes it to screen readers.
std::string SvgPlot(const std::string& title,
                    const std::vector<PlotPoint>& points,
                    Ratio Bucket::*ratio,
                    double allowed_share);

// Text with the characters escaped that HTML treats specially.
std::string Escaped(const std::string& text);

}  // namespace godwit::report

#endif  // GODWIT_REPORT_SVG_PLOT_H_
