#ifndef GODWIT_REPORT_SCRAPE_H_
#define GODWIT_REPORT_SCRAPE_H_

#include <istream>
#include <string>

#include "source_status.h"

namespace godwit::report {

class Collector;

// Counts what a scrape of a router's metrics tells, and notes missing metrics
// in the status. `first_line` was read from the stream before.
void ReadScrape(const std::string& first_line,
                std::istream& stream,
                Collector& collector,
                SourceStatus& status);

// True for a line that scrapes begin with.
bool IsScrapeLine(const std::string& line);

}  // namespace godwit::report

#endif  // GODWIT_REPORT_SCRAPE_H_
