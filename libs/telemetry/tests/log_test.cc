#include "telemetry/log.h"

#include <condition_variable>
#include <iostream>
#include <mutex>
#include <sstream>
#include <streambuf>
#include <string>

#include "telemetry/log_options.h"

#include <CppUTest/TestHarness.h>

using godwit::telemetry::DroppedLogLines;
using godwit::telemetry::EventId;
using godwit::telemetry::Level;
using godwit::telemetry::Log;
using godwit::telemetry::LogFormat;
using godwit::telemetry::LogOptions;
using godwit::telemetry::StartLogging;
using godwit::telemetry::StopLogging;

namespace {

// A stream whose reader takes nothing until it is released.
class StalledBuffer : public std::streambuf {
 public:
  void Release() {
    const std::lock_guard<std::mutex> lock(mutex_);
    released_ = true;
    changed_.notify_all();
  }
  size_t bytes() const { return bytes_; }

 protected:
  std::streamsize xsputn(const char* /*text*/, std::streamsize size) override {
    Await();
    bytes_ += static_cast<size_t>(size);
    return size;
  }
  int_type overflow(int_type c) override {
    Await();
    ++bytes_;
    return c;
  }

 private:
  void Await() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return released_; });
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  bool released_ = false;
  size_t bytes_ = 0;
};

}  // namespace

TEST_GROUP(Log){};

TEST(Log, LinesThatAreNotReadFillTheMemory) {
  constexpr size_t lines = 20'000;
  constexpr size_t line_bytes = 1'000;
  constexpr size_t max_queued_bytes = 8'000'000;
  StalledBuffer stalled;
  std::streambuf* const stderr_buffer = std::cerr.rdbuf(&stalled);
  StartLogging(LogOptions{"router-1", LogFormat::kJson, Level::kInfo});
  const int64_t dropped = DroppedLogLines();
  for (size_t i = 0; i < lines; ++i) {
    Log(EventId::kProcessReady, {{"text", std::string(line_bytes, 'x')}});
  }
  const auto queued = lines - static_cast<size_t>(DroppedLogLines() - dropped);
  stalled.Release();
  StopLogging();
  std::cerr.rdbuf(stderr_buffer);
  CHECK(queued * line_bytes <= max_queued_bytes);
  CHECK(queued > 0);
  CHECK(stalled.bytes() >= queued * line_bytes);
}

TEST(Log, WritesLinesOfItsLevelToStderr) {
  std::ostringstream captured;
  std::streambuf* const stderr_buffer = std::cerr.rdbuf(captured.rdbuf());
  StartLogging(LogOptions{"router-1", LogFormat::kJson, Level::kInfo});
  Log(EventId::kProcessReady, {{"port", 8080}});
  Log(EventId::kRunStarted);
  StopLogging();
  Log(EventId::kProcessReady);
  std::cerr.rdbuf(stderr_buffer);
  STRCMP_CONTAINS(
      "\"event\":102,\"name\":\"process_ready\",\"process\":\"router-1\","
      "\"port\":8080}\n",
      captured.str().c_str());
  CHECK(captured.str().find("run_started") == std::string::npos);
  CHECK_EQUAL(captured.str().size() - 1, captured.str().find('\n'));
}
