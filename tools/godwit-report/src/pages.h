#ifndef GODWIT_REPORT_PAGES_H_
#define GODWIT_REPORT_PAGES_H_

#include <string>

namespace godwit::report {

struct BurnReport;

// The report for a terminal.
std::string TextPage(const BurnReport& report);
// The report as one JSON value.
std::string JsonPage(const BurnReport& report);
// The report as one HTML file that loads nothing else.
std::string HtmlPage(const BurnReport& report);

}  // namespace godwit::report

#endif  // GODWIT_REPORT_PAGES_H_
