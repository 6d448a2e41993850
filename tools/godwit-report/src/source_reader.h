#ifndef GODWIT_REPORT_SOURCE_READER_H_
#define GODWIT_REPORT_SOURCE_READER_H_

#include <istream>
#include <string>

#include "source_status.h"

namespace godwit::report {

class Collector;

// Reads JSON lines or a scrape in the Prometheus text format.
class SourceReader {
 public:
  explicit SourceReader(Collector& collector) : collector_(collector) {}

  // Reads a source to its end, line by line.
  SourceStatus Read(const std::string& name, std::istream& stream);

 private:
  Collector& collector_;
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_SOURCE_READER_H_
