// Runs godwit-router as a process with callers that leave once they have sent a
// large body under an idempotency key. Their requests go on; the router must
// stay within its memory and answer an ordinary request meanwhile.
#include <chrono>
#include <string>
#include <thread>

#include "raw_connection.h"
#include "support/process_usage.h"
#include "test_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::http::RawConnection;
using godwit::router_daemon::Await;
using godwit::router_daemon::StatusOfAnswer;
using godwit::router_daemon::TestFleet;
using godwit::router_daemon::TicketText;
using godwit::support::OpenDescriptors;
using godwit::support::PeakMemoryKib;

namespace {

constexpr char kSettings[] =
    "memory_mb: 128\ndescriptors: 500\nmax_body_bytes: 1000000\n";
constexpr int64_t kMemoryKib = int64_t{128} * 1000 * 1000 / 1024;
constexpr size_t kDescriptors = 500;
constexpr int kCallers = 300;
constexpr size_t kBodyBytes = 900'000;
// Lets the router read a body before its caller leaves.
constexpr std::chrono::milliseconds kReadTime(10);

std::string KeyedRequest(int number) {
  return "POST /services/dispatch/tickets HTTP/1.1\r\nHost: router\r\n"
         "Authorization: Bearer demo-key\r\nIdempotency-Key: k-" +
         std::to_string(number) +
         "\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
         std::string(kBodyBytes, 'x');
}

}  // namespace

TEST_GROUP(RouterLeftBodies){};

TEST(RouterLeftBodies, BodiesOfCallersThatLeftAreHeld) {
  TestFleet fleet({kSettings, "", false});
  CHECK(Await([&] { return fleet.IsReady(); }));
  fleet.InjectFaults(fleet.service, R"({"delay_ms":3000})");
  for (int i = 0; i < kCallers; ++i) {
    RawConnection caller(fleet.port());
    caller.Send(KeyedRequest(i));
    std::this_thread::sleep_for(kReadTime);
  }
  const int64_t peak = PeakMemoryKib(fleet.router->pid());
  CHECK_TEXT(peak > 0 && peak <= kMemoryKib, std::to_string(peak).c_str());
  CHECK(OpenDescriptors(fleet.router->pid()) <= kDescriptors);
  fleet.InjectFaults(fleet.service, R"({"delay_ms":0})");
  CHECK(Await([&] { return StatusOfAnswer(fleet.Send(TicketText())) == 200; }));
}
