#include "telemetry/log.h"

#include <iostream>
#include <sstream>
#include <string>

#include "telemetry/log_options.h"

#include <CppUTest/TestHarness.h>

using godwit::telemetry::EventId;
using godwit::telemetry::Level;
using godwit::telemetry::Log;
using godwit::telemetry::LogFormat;
using godwit::telemetry::LogOptions;
using godwit::telemetry::StartLogging;
using godwit::telemetry::StopLogging;

TEST_GROUP(Log){};

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
