#ifndef GODWIT_REPORT_SCRAPE_H_
#define GODWIT_REPORT_SCRAPE_H_

#include <istream>
#include <string>

#include "source_status.h"

namespace godwit::report {

class Collector;

// Reads a scrape of a router's metrics into the collector and records missing
// metrics in `status`. `first_line` was already read from the stream.
void ReadScrape(const std::string& first_line,
                std::istream& stream,
                Collector& collector,
                SourceStatus& status);

// Returns true if a scrape can begin with this line.
bool IsScrapeLine(const std::string& line);

}  // namespace godwit::report

#endif  // GODWIT_REPORT_SCRAPE_H_
