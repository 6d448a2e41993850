// Runs godwit-router as a process with clients that send without end, never
// read, or take all places. The router must stay within its memory and
// descriptors and answer an ordinary request meanwhile.
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "support/client_crowd.h"
#include "support/process_usage.h"
#include "support/test_certificate.h"
#include "test_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::router_daemon::Await;
using godwit::router_daemon::RequestText;
using godwit::router_daemon::StatusOfAnswer;
using godwit::router_daemon::TestFleet;
using godwit::router_daemon::TicketText;
using godwit::support::ClientCrowd;
using godwit::support::OpenDescriptors;
using godwit::support::PeakMemoryKib;
using godwit::support::TestCertificate;

namespace {

constexpr char kSettings[] =
    "memory_mb: 128\ndescriptors: 500\nmax_body_bytes: 1000000\n"
    "read_limit_ms: 60000\n";
constexpr int64_t kMemoryKib = int64_t{128} * 1000 * 1000 / 1024;
constexpr size_t kDescriptors = 500;
constexpr size_t kClients = 6;
constexpr size_t kBytesPerClient = size_t{48} * 1024 * 1024;
// More than the process has descriptors.
constexpr size_t kManyClients = 520;
constexpr size_t kBodyClients = 240;
constexpr size_t kHeldBodyBytes = 990'000;
// Polls while the router reads what the kernel holds for it.
constexpr int kReadPolls = 100;
constexpr std::chrono::milliseconds kReadPollInterval(20);
constexpr int kOrdinaryCalls = 5;

struct Case {
  const char* name;
  ClientCrowd::Script script;
};

ClientCrowd::Script Endless(const std::string& opening,
                            const std::string& repeated) {
  return {opening, repeated, kBytesPerClient};
}

const char kChunkedHead[] =
    "POST /services/dispatch/tickets HTTP/1.1\r\nHost: router\r\n"
    "Authorization: Bearer demo-key\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<Case> EndlessRequests() {
  const std::string head = kChunkedHead;
  const auto get = [](const std::string& target, const std::string& key) {
    return "GET " + target +
           " HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " + key +
           "\r\n\r\n";
  };
  return {
      {"a trailer without end", Endless(head + "0\r\nX-A: ", "a")},
      {"trailers without end", Endless(head + "0\r\n", "X-A: bbbbbbbbb\r\n")},
      {"a chunk extension without end", Endless(head + "5;a=", "b")},
      {"a chunk size without end", Endless(head, "0")},
      {"a head without end", Endless("GET / HTTP/1.1\r\nX-A: ", "a")},
      {"a request line without end", Endless("GET /", "a")},
      {"empty lines without end", Endless("", "\r\n")},
      {"bytes behind a last request",
       Endless(RequestText("/metrics", ""), "x")},
      {"bytes behind a malformed request",
       Endless(get("/metrics", "demo-key") + "?\r\n\r\n", "x")},
      {"refusals never read", Endless("", get("/services/dispatch/1", "no"))},
      {"pages never read", Endless("", get("/metrics", "demo-key"))},
  };
}

bool ExceedsMemory(const TestFleet& fleet) {
  const int64_t peak = PeakMemoryKib(fleet.router->pid());
  return peak == 0 || peak > kMemoryKib;
}

void CheckServes(const TestFleet& fleet, const std::string& name) {
  const std::string answer = fleet.Send(TicketText());
  CHECK_EQUAL_TEXT(200, StatusOfAnswer(answer), (name + ": " + answer).c_str());
  CHECK_FALSE_TEXT(
      ExceedsMemory(fleet),
      (name + ": " + std::to_string(PeakMemoryKib(fleet.router->pid())))
          .c_str());
  CHECK_TEXT(OpenDescriptors(fleet.router->pid()) <= kDescriptors,
             name.c_str());
}

}  // namespace

TEST_GROUP(RouterClients){void Play(const TestFleet& fleet, const Case& c){
    ClientCrowd crowd(fleet.port(), kClients);
crowd.Send(c.script, [&fleet] { return ExceedsMemory(fleet); });
CheckServes(fleet, c.name);
}
}
;

TEST(RouterClients, RequestsWithoutEnd) {
  TestFleet fleet({kSettings, "", false});
  CHECK(Await([&] { return fleet.IsReady(); }));
  for (const Case& c : EndlessRequests()) {
    Play(fleet, c);
  }
}

TEST(RouterClients, LargeBodiesThatAreHeld) {
  TestFleet fleet({kSettings, "", false});
  CHECK(Await([&] { return fleet.IsReady(); }));
  const std::string text =
      "POST /services/dispatch/tickets HTTP/1.1\r\nHost: router\r\n"
      "Authorization: Bearer demo-key\r\nContent-Length: 1000000\r\n\r\n" +
      std::string(kHeldBodyBytes, 'x');
  ClientCrowd crowd(fleet.port(), kBodyClients);
  crowd.Send({text, "", text.size()},
             [&fleet] { return ExceedsMemory(fleet); });
  for (int i = 0; i < kReadPolls && !ExceedsMemory(fleet); ++i) {
    std::this_thread::sleep_for(kReadPollInterval);
  }
  CheckServes(fleet, "bodies");
}

TEST(RouterClients, IdleAndSlowClientsTakeAllPlaces) {
  TestFleet fleet({kSettings, "", false});
  CHECK(Await([&] { return fleet.IsReady(); }));
  struct Crowd {
    const char* name;
    std::string first;
    std::string later;
  };
  const std::vector<Crowd> crowds = {
      {"idle", "", ""},
      {"a byte of a head at a time", "GET / HTTP/1.1\r\nX-A: ", "a"},
      {"half of a body",
       "POST /services/dispatch/tickets HTTP/1.1\r\nHost: router\r\n"
       "Authorization: Bearer demo-key\r\nContent-Length: 1000\r\n\r\nhalf",
       "b"},
      {"idle after a refusal",
       "GET /services/dispatch/1 HTTP/1.1\r\n"
       "Host: router\r\n\r\n",
       ""},
  };
  for (const Crowd& c : crowds) {
    ClientCrowd crowd(fleet.port(), kManyClients);
    crowd.SendOnce(c.first);
    for (int i = 0; i < kOrdinaryCalls; ++i) {
      CheckServes(fleet, c.name);
      crowd.SendOnce(c.later);
    }
  }
}

TEST(RouterClients, HandshakesThatDoNotGoOnTakeAllPlaces) {
  godwit::support::TestDirectory keys;
  const TestCertificate certificate(keys.path(), "router");
  TestFleet fleet(
      {kSettings + ("tls_certificate_file: " + certificate.certificate_file() +
                    "\ntls_key_file: " + certificate.key_file() + "\n"),
       "", true});
  CHECK(Await([&] { return fleet.IsReady(); }));
  // The first bytes of a TLS record of 16 KiB.
  const std::string record("\x16\x03\x01\x40\x00\x01\x00\x3f\xfc\x03\x03", 11);
  for (const std::string& first : {std::string(), record}) {
    ClientCrowd crowd(fleet.port(), kManyClients);
    crowd.SendOnce(first);
    CheckServes(fleet, first.empty() ? "silent" : "begun");
  }
}
