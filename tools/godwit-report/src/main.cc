#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "cli/command_line.h"
#include "collector.h"
#include "config/config.h"
#include "config/parser.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "pages.h"
#include "runtime/runtime.h"
#include "source_reader.h"

DEFINE_string(config, "", "configuration text with the objectives");
DEFINE_string(format, "text", "text, json or html");
DEFINE_string(output, "", "file to write; stdout when empty");
DEFINE_int32(fast_minutes, 60, "window of the fast burn rate");
DEFINE_int32(slow_minutes, 360, "window of the slow burn rate");

namespace godwit::report {
namespace {

constexpr char kHelp[] = R"(NAME
  godwit-report - service-level burn of a godwitlatch fleet

SYNOPSIS
  godwit-report [FLAG...] SOURCE...

DESCRIPTION
  Measures requests against the objectives of each service: availability, time
  to the first token and time between tokens. Prints for each service, and for
  each organisation at it, the error budget left, how fast it burns in two
  windows, refusals by kind and latencies.

  A SOURCE is one of
    FILE                        log of a router as JSON lines, or a scrape of
                                its metrics
    -                           the same from stdin
    http://IP:PORT/metrics      the metrics of a running router

  Logs tell times, so only they give burn rates and plots; scrapes give counts
  since the start of the router. A source that can't be read, and lines that
  are cut or damaged, are named in the report, which covers the rest.

  Availability counts answers as good, and refusals and unknown outcomes as
  bad, but for refusals that the caller or its budget causes. A refusal of kind
  budget_unavailable may be false: the budget could not be asked.

FLAGS
  --config FILE         configuration text with the objectives
  --format FORMAT       text, json or html (one file that loads nothing else)
  --output FILE         file to write in place of stdout
  --fast-minutes N      window of the fast burn rate; default 60
  --slow-minutes N      window of the slow burn rate; default 360

EXIT STATUS
  0  whole report
  1  partial report, or the output can't be written
  2  the command line or the configuration is not valid

EXAMPLE
  godwit-report --config fleet.yaml --format html --output burn.html \
      router-1.log router-2.log
)";

constexpr char kUrlPrefix[] = "http://";
constexpr base::Millis kScrapeTimeout = base::Seconds(3);
constexpr int kPartialExitCode = 1;

int PrintError(const base::Error& error, int exit_code) {
  std::fprintf(stderr, "%s\n", error.ToString().c_str());
  return exit_code;
}

SourceStatus UnreadableSource(const std::string& name,
                              const std::string& what,
                              const std::string& remedy) {
  SourceStatus status;
  status.name = name;
  status.error = base::Error(base::ErrorKind::kUnavailable, what, remedy);
  return status;
}

// Reads the metrics of a running process.
SourceStatus ReadUrl(const std::string& url, SourceReader& reader) {
  const std::string location = url.substr(sizeof(kUrlPrefix) - 1);
  const size_t slash = std::min(location.find('/'), location.size());
  const auto endpoint = base::Endpoint::FromText(location.substr(0, slash));
  if (!endpoint) {
    return UnreadableSource(url, "not an address",
                            "write http://IP:PORT/metrics");
  }
  std::string target = location.substr(slash);
  target = target.empty() ? "/metrics" : target;
  std::optional<std::string> body;
  runtime::Runtime runtime;
  runtime.Run([&] {
    http::ClientPool pool(runtime, endpoint->ip, endpoint->port);
    http::ClientCall call(pool, {"GET", target, {}, ""});
    call.TotalTimeout(kScrapeTimeout);
    const auto response = call.Perform();
    if (response && response->status == 200) {
      body = response->body;
    }
    runtime.Stop();
  });
  if (!body) {
    return UnreadableSource(url, "does not answer",
                            "check that the router runs");
  }
  std::istringstream stream(*body);
  return reader.Read(url, stream);
}

SourceStatus ReadSource(const std::string& name, SourceReader& reader) {
  if (name == "-") {
    return reader.Read("stdin", std::cin);
  }
  if (name.rfind(kUrlPrefix, 0) == 0) {
    return ReadUrl(name, reader);
  }
  std::ifstream file(name);
  if (!file) {
    return UnreadableSource(name, "can't be read", "check the path");
  }
  return reader.Read(name, file);
}

std::optional<config::Config> ReadConfig(base::Error& error) {
  std::ifstream file(FLAGS_config);
  std::ostringstream text;
  text << file.rdbuf();
  config::Parser parser;
  auto parsed = parser.Parse(text.str(), 0);
  if (!parsed) {
    error = base::Error(parser.last_error().kind(),
                        FLAGS_config + ": " + parser.last_error().message(),
                        parser.last_error().remedy());
  }
  return parsed;
}

bool Write(const std::string& page) {
  if (FLAGS_output.empty()) {
    std::fputs(page.c_str(), stdout);
    return std::fflush(stdout) == 0;
  }
  std::ofstream file(FLAGS_output);
  file << page;
  return static_cast<bool>(file.flush());
}

std::optional<base::Error> CheckFlags(const std::vector<std::string>& sources) {
  const auto usage_error = [](const char* what, const char* remedy) {
    return base::Error(base::ErrorKind::kInvalidArgument, what, remedy);
  };
  if (sources.empty()) {
    return usage_error("no source is given",
                       "run with --help for what they are");
  }
  if (FLAGS_format != "text" && FLAGS_format != "json" &&
      FLAGS_format != "html") {
    return usage_error("--format is not known", "write text, json or html");
  }
  if (FLAGS_fast_minutes < 1 || FLAGS_slow_minutes < FLAGS_fast_minutes) {
    return usage_error("the windows do not fit",
                       "write at least 1 minute, and a slow window that is not "
                       "shorter than the fast one");
  }
  return std::nullopt;
}

int Run(const std::vector<std::string>& sources) {
  if (const auto error = CheckFlags(sources)) {
    return PrintError(*error, cli::kUsageExitCode);
  }
  std::optional<config::Config> config;
  if (!FLAGS_config.empty()) {
    base::Error error;
    config = ReadConfig(error);
    if (!config) {
      return PrintError(error, cli::kUsageExitCode);
    }
  }
  CollectorOptions options;
  options.fast_window = base::Seconds(60) * FLAGS_fast_minutes;
  options.slow_window = base::Seconds(60) * FLAGS_slow_minutes;
  Collector collector(config ? &*config : nullptr, options);
  SourceReader reader(collector);
  std::vector<SourceStatus> statuses;
  statuses.reserve(sources.size());
  for (const std::string& source : sources) {
    statuses.push_back(ReadSource(source, reader));
  }
  const BurnReport report = collector.Report(std::move(statuses));
  const std::string page = FLAGS_format == "html"   ? HtmlPage(report)
                           : FLAGS_format == "json" ? JsonPage(report)
                                                    : TextPage(report);
  if (!Write(page)) {
    return PrintError(base::Error(base::ErrorKind::kUnavailable,
                                  "the report can't be written",
                                  "check --output and the space left"),
                      kPartialExitCode);
  }
  return report.partial() ? kPartialExitCode : 0;
}

}  // namespace
}  // namespace godwit::report

int main(int argc, char** argv) {
  godwit::cli::CommandLine line;
  const auto sources = line.Parse(argc, argv);
  if (line.help()) {
    std::fputs(godwit::report::kHelp, stdout);
    return 0;
  }
  if (!sources) {
    return godwit::report::PrintError(line.last_error(),
                                      godwit::cli::kUsageExitCode);
  }
  return godwit::report::Run(*sources);
}
