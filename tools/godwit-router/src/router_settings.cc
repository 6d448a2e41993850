#include "router_settings.h"

#include "base/clocks.h"
#include "config/settings.h"
#include "config/settings_reader.h"
#include "daemon/certificate_check.h"
#include "daemon/link_tls.h"
#include "daemon/log_settings.h"
#include "daemon/new_incarnation.h"

namespace godwit::router_daemon {
namespace {

constexpr int64_t kMaxStopMillis = 3'600'000;
constexpr int64_t kMaxReadMillis = 600'000;
constexpr int64_t kMaxBodyBytes = int64_t{64} * 1024 * 1024;
constexpr int64_t kMinMemoryMb = 16;
constexpr int64_t kMaxMemoryMb = 1'000'000;
constexpr size_t kBytesPerMb = 1'000'000;
// Share of the memory that bodies of requests may take. Their requests hold
// them once more.
constexpr size_t kBodyMemoryDivisor = 4;
constexpr int64_t kMaxDescriptors = 1'000'000;
// File descriptors that are not available for callers and links.
constexpr int64_t kReservedDescriptors = 250;

void DeclareCallers(config::SettingsReader& reader) {
  reader.Ip("listen_ip", "IP number that callers connect to")
      .Default("127.0.0.1")
      .Port("listen_port", "port that callers connect to; 0 for a free one")
      .Default("8080")
      .Integer("max_body_bytes", "largest request body", 1024, kMaxBodyBytes)
      .Default("8388608")
      .Duration("read_limit_ms", "longest time for a request to arrive whole",
                100, kMaxReadMillis)
      .Default("10000")
      .Integer("memory_mb",
               "memory of this VM, of which a quarter may hold the bodies of "
               "callers' requests",
               kMinMemoryMb, kMaxMemoryMb)
      .Default("256")
      .Integer("descriptors",
               "file descriptors that this process may use, of which those "
               "above 250 are for callers and links, half each",
               kReservedDescriptors * 2, kMaxDescriptors)
      .Default("4096")
      .String("tls_certificate_file",
              "PEM certificate for callers; they are served over TLS when it "
              "is set")
      .Optional()
      .String("tls_key_file", "PEM key of that certificate")
      .Optional();
}

void DeclareStop(config::SettingsReader& reader) {
  reader
      .Duration("drain_grace_ms",
                "time after SIGTERM in which requests are still taken, for a "
                "balancer to see that the router is not ready",
                0, kMaxStopMillis)
      .Default("0")
      .Duration("drain_limit_ms",
                "longest wait for requests in progress after that", 0,
                kMaxStopMillis)
      .Default("60000")
      .Duration("handback_limit_ms",
                "longest wait for budgets to be handed back after the last "
                "request",
                0, kMaxStopMillis)
      .Default("5000");
}

}  // namespace

std::optional<base::Error> CallerTls::Check() const {
  return daemon::CheckCertificate(certificate, base::WallNow());
}

void DeclareSettings(config::SettingsReader& reader) {
  reader.Name("process", "name of this router, stable over restarts")
      .Name("fleet", "name of the fleet; links join one fleet only")
      .Name("data_centre", "where this router runs")
      .Address("platform", "IP:PORT of the platform's KV");
  DeclareCallers(reader);
  daemon::DeclareLinkTls(reader);
  DeclareStop(reader);
  daemon::DeclareLogSettings(reader);
}

router::RouterOptions OptionsOf(const config::Settings& settings) {
  router::RouterOptions options;
  options.process = base::ProcessId(settings.Text("process"));
  options.incarnation = daemon::NewIncarnation(options.process);
  options.data_centre = base::DataCentreId(settings.Text("data_centre"));
  options.seed = daemon::NewSeed();
  return options;
}

daemon::StopPlan::Limits StopLimitsOf(const config::Settings& settings) {
  return {settings.Duration("drain_grace_ms"),
          settings.Duration("drain_limit_ms"),
          settings.Duration("handback_limit_ms")};
}

size_t HeldBodyBytesOf(const config::Settings& settings) {
  return static_cast<size_t>(settings.Integer("memory_mb")) * kBytesPerMb /
         kBodyMemoryDivisor;
}

size_t MaxConnectionsOf(const config::Settings& settings) {
  return static_cast<size_t>(
      (settings.Integer("descriptors") - kReservedDescriptors) / 2);
}

std::optional<CallerTls> CallerTlsOf(const config::Settings& settings,
                                     base::Error* error) {
  const CallerTls files{settings.Text("tls_certificate_file"),
                        settings.Text("tls_key_file")};
  if (files.key.empty() == files.enabled()) {
    *error = base::Error(base::ErrorKind::kInvalidArgument,
                         "only one of tls_certificate_file and tls_key_file "
                         "is set",
                         "set both or none");
    return std::nullopt;
  }
  if (files.enabled()) {
    if (const auto certificate_error = files.Check()) {
      *error = *certificate_error;
      return std::nullopt;
    }
  }
  return files;
}

}  // namespace godwit::router_daemon
