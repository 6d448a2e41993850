#include "telemetry/log.h"

#include <atomic>
#include <iostream>
#include <memory>
#include <string>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include "base/clocks.h"
#include "telemetry/event_table.h"
#include "telemetry/log_line.h"
#include "telemetry/log_options.h"

namespace godwit::telemetry {
namespace {

namespace logging = boost::log;

constexpr size_t kMaxQueuedLines = 20'000;
// Memory of the queued lines, each with that of its record.
constexpr size_t kMaxQueuedBytes = 8'000'000;
constexpr size_t kRecordBytes = 512;

std::atomic<int64_t> dropped_lines{0};
std::atomic<size_t> queued_bytes{0};

size_t BytesOf(const std::string& line) {
  return line.size() + kRecordBytes;
}

// Called when a line leaves the queue.
void ReleaseBytes(const logging::record_view& record) {
  if (const auto line = record[logging::expressions::smessage]) {
    queued_bytes.fetch_sub(BytesOf(*line), std::memory_order_relaxed);
  }
}

// Overflow policy of the Boost.Log queue: drops and counts the lines that do
// not fit.
class CountingOverflowPolicy {
 public:
  template <typename Lock>
  static bool on_overflow(const logging::record_view& record, Lock& /*lock*/) {
    ReleaseBytes(record);
    dropped_lines.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

using Sink = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<kMaxQueuedLines,
                                       CountingOverflowPolicy>>;

struct Logging {
  LogOptions options;
  boost::shared_ptr<Sink> sink;
  logging::sources::logger_mt logger;
};

std::unique_ptr<Logging> logging_state;

}  // namespace

void StartLogging(const LogOptions& options) {
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(
      options.to_stdout ? &std::cout : &std::cerr, boost::null_deleter()));
  backend->auto_flush(true);
  auto state = std::make_unique<Logging>();
  state->options = options;
  state->sink = boost::make_shared<Sink>(backend);
  state->sink->set_formatter([](const logging::record_view& record,
                                logging::formatting_ostream& stream) {
    stream << record[logging::expressions::smessage];
    ReleaseBytes(record);
  });
  logging::core::get()->add_sink(state->sink);
  logging_state = std::move(state);
}

void StopLogging() {
  if (logging_state == nullptr) {
    return;
  }
  logging::core::get()->remove_sink(logging_state->sink);
  logging_state->sink->stop();
  logging_state->sink->flush();
  logging_state.reset();
}

void Log(EventId id, const std::vector<Field>& fields) {
  if (logging_state == nullptr ||
      InfoOf(id).level < logging_state->options.level) {
    return;
  }
  const LogOptions& options = logging_state->options;
  const base::Millis now = base::WallNow();
  const std::string line = options.format == LogFormat::kJson
                               ? JsonLine(now, id, options.process, fields)
                               : TextLine(now, id, options.process, fields);
  if (queued_bytes.load(std::memory_order_relaxed) + BytesOf(line) >
      kMaxQueuedBytes) {
    dropped_lines.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  queued_bytes.fetch_add(BytesOf(line), std::memory_order_relaxed);
  BOOST_LOG(logging_state->logger) << line;
}

int64_t DroppedLogLines() noexcept {
  return dropped_lines.load(std::memory_order_relaxed);
}

}  // namespace godwit::telemetry
