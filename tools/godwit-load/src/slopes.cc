#include "slopes.h"

#include <sys/resource.h>

#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "claims/claim_codec.h"
#include "claims/plan_directory.h"
#include "config/config.h"
#include "config/parser.h"
#include "ledger/ledger_codec.h"
#include "link/codec.h"
#include "membership/fleet_codec.h"
#include "router/router_core.h"
#include "sample_records.h"

namespace godwit::load {
namespace {

constexpr double kMicrosInSecond = 1e6;
constexpr int64_t kKilobyte = 1024;

// Processor time that this process has used, in microseconds.
double ProcessorMicros() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * kMicrosInSecond +
           static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

// Resident memory of this process, in bytes.
int64_t ResidentBytes() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      int64_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes * kKilobyte;
    }
  }
  return 0;
}

// Mean processor time of a call, in microseconds.
double MicrosOf(int repeats, const std::function<void()>& call) {
  const double start = ProcessorMicros();
  for (int i = 0; i < repeats; ++i) {
    call();
  }
  return (ProcessorMicros() - start) / repeats;
}

class Table {
 public:
  explicit Table(std::ostream& out) : out_(out) {
    out_ << "what,size,unit,value\n";
  }
  void Row(const std::string& what,
           size_t size,
           const std::string& unit,
           double value) {
    out_ << what << ',' << size << ',' << unit << ',' << value << '\n';
  }

 private:
  std::ostream& out_;
};

void MeasureLedger(Table& table) {
  for (const size_t grants : {size_t{0}, size_t{1}, size_t{3}}) {
    const std::string what =
        "ledger record, grants a budget " + std::to_string(grants);
    for (const size_t budgets : {size_t{100}, size_t{400}, size_t{1600}}) {
      const ledger::LedgerRecord record = SampleLedger(budgets, grants);
      ledger::LedgerCodec codec;
      const std::string bytes = codec.Encode(record);
      table.Row(what, budgets, "bytes", static_cast<double>(bytes.size()));
      table.Row(what, budgets, "us to read and write",
                MicrosOf(20, [&] { codec.Encode(*codec.Decode(bytes)); }));
    }
  }
}

void MeasureFleet(Table& table) {
  for (const size_t agents : {size_t{100}, size_t{400}, size_t{800}}) {
    const membership::FleetRecord record = SampleFleet(agents);
    membership::FleetCodec codec;
    const std::string bytes = codec.Encode(record);
    table.Row("fleet record, agents", agents, "bytes",
              static_cast<double>(bytes.size()));
    table.Row("fleet record, agents", agents, "us to read",
              MicrosOf(20, [&] { codec.Decode(bytes); }));
    std::vector<claims::DirectoryMember> members;
    for (const membership::FleetAgent& agent : record.agents()) {
      members.push_back({agent.process, agent.incarnation, agent.data_centre,
                         claims::MemberState::kActive, agent.joined_at,
                         base::Millis()});
    }
    table.Row("directory plan, agents", agents, "us a key", MicrosOf(50, [&] {
                claims::PlanDirectory(members, base::Digest(1, 2),
                                      base::Seconds(10'000'000));
              }));
  }
}

void MeasureClaims(Table& table) {
  for (const size_t claims : {size_t{100}, size_t{1000}, size_t{4000}}) {
    claims::ClaimCodec codec;
    const std::string bytes = codec.Encode(SampleClaims(claims));
    table.Row("claims record, claims", claims, "bytes",
              static_cast<double>(bytes.size()));
    table.Row("claims record, claims", claims, "us to read and write",
              MicrosOf(10, [&] { codec.Encode(*codec.Decode(bytes)); }));
  }
}

void MeasureConfiguration(Table& table) {
  for (const size_t count : {size_t{100}, size_t{1000}, size_t{2800}}) {
    const std::string text = SampleConfiguration(count);
    table.Row("configuration, organisations", count, "bytes",
              static_cast<double>(text.size()));
    table.Row("configuration, organisations", count, "us to read",
              MicrosOf(3, [&] { config::Parser().Parse(text, 1); }));
  }
}

void MeasureMessage(Table& table,
                    const std::string& what,
                    size_t size,
                    const link::Message& message) {
  const std::string bytes = link::Codec::Encode(message);
  link::Codec codec;
  table.Row(what, size, "bytes", static_cast<double>(bytes.size()));
  table.Row(what, size, "us to write and read", MicrosOf(20000, [&] {
              codec.Decode(link::Codec::Encode(message));
            }));
}

void MeasureMessages(Table& table) {
  MeasureMessage(table, "heartbeat", 1,
                 link::Heartbeat{1000, 5, false, 8, 2, 9});
  MeasureMessage(table, "register key", 1, link::RegisterKey());
  for (const size_t bytes : {size_t{64}, size_t{512}, size_t{4096}}) {
    link::RunData data;
    data.attempt = base::AttemptId("router-1.0123456789abcdef/100000");
    data.bytes = std::string(bytes, 'x');
    MeasureMessage(table, "answer piece, bytes", bytes, data);
    link::StartRun start;
    start.attempt = data.attempt;
    start.grant = base::GrantId("router-1.0123456789abcdef/10");
    start.body = data.bytes;
    MeasureMessage(table, "start, body bytes", bytes, start);
  }
}

// Returns a router whose calls wait for a KV that does not answer.
std::unique_ptr<router::RouterCore> RouterWithFleet() {
  router::RouterOptions options;
  options.process = base::ProcessId("router-1");
  options.incarnation = base::Incarnation("router-1.0123456789abcdef");
  auto core = std::make_unique<router::RouterCore>(options);
  auto config = config::Parser().Parse(SampleConfiguration(100), 1);
  const membership::FleetRecord fleet = SampleFleet(2);
  link::Hello hello;
  hello.process = fleet.agents()[1].process;
  hello.incarnation = fleet.agents()[1].incarnation;
  core->Step(base::Millis(1), router::Tick{base::Seconds(1000)});
  core->Step(base::Millis(1),
             router::ConfigInForce{
                 std::make_shared<const config::Config>(std::move(*config))});
  core->Step(base::Millis(1), router::FleetRecordReceived{fleet, 1});
  core->Step(base::Millis(1), router::LinkOpened{1, hello});
  return core;
}

void MeasureRouter(Table& table) {
  for (const size_t calls : {size_t{1000}, size_t{4000}, size_t{16000}}) {
    const auto core = RouterWithFleet();
    const int64_t before = ResidentBytes();
    const double start = ProcessorMicros();
    for (size_t i = 0; i < calls; ++i) {
      router::CallerRequest request;
      request.exchange = static_cast<router::ExchangeId>(i) + 1;
      request.organisation = base::OrganisationId("organisation-1");
      request.service = base::ServiceId("language");
      request.body = std::string(kKilobyte, 'x');
      request.prompt_tokens_bound = kKilobyte;
      core->Step(base::Millis(1), router::RequestReceived{std::move(request)});
    }
    const double micros = ProcessorMicros() - start;
    const auto open = static_cast<double>(core->open_calls());
    table.Row("router, requests arrived", calls, "requests open", open);
    table.Row("router, requests arrived", calls, "us to admit one",
              micros / static_cast<double>(calls));
    table.Row("router, requests arrived", calls, "bytes of memory for one",
              static_cast<double>(ResidentBytes() - before) /
                  static_cast<double>(calls));
    table.Row("router, requests arrived", calls, "us a tick", MicrosOf(20, [&] {
                core->Step(base::Millis(2), router::Tick{base::Seconds(1000)});
              }));
  }
}

}  // namespace

void RunSlopes(uint64_t /*seed*/, std::ostream& out) {
  Table table(out);
  MeasureRouter(table);
  MeasureLedger(table);
  MeasureFleet(table);
  MeasureClaims(table);
  MeasureConfiguration(table);
  MeasureMessages(table);
}

}  // namespace godwit::load
