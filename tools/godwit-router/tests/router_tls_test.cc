#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

#include "support/test_certificate.h"
#include "test_fleet.h"
#include "tls_connection.h"

#include <CppUTest/TestHarness.h>

using godwit::http::TlsConnection;
using godwit::router_daemon::Await;
using godwit::router_daemon::QuestionText;
using godwit::router_daemon::StatusOfAnswer;
using godwit::router_daemon::TestFleet;
using godwit::router_daemon::TicketText;
using godwit::support::TestCertificate;
using godwit::support::TestDirectory;

namespace {

// Certificate and key files at the paths named by the settings.
struct InstalledCertificate {
  explicit InstalledCertificate(const std::string& directory)
      : certificate(directory + "/installed.crt"),
        key(directory + "/installed.key") {}

  void Install(const TestCertificate& source) const {
    const auto overwrite = std::filesystem::copy_options::overwrite_existing;
    std::filesystem::copy_file(source.certificate_file(), certificate,
                               overwrite);
    std::filesystem::copy_file(source.key_file(), key, overwrite);
  }

  std::string certificate;
  std::string key;
};

std::string CallerLines(const std::string& certificate,
                        const std::string& key) {
  return "tls_certificate_file: " + certificate + "\ntls_key_file: " + key +
         "\n";
}

std::string LinkLines(const TestCertificate& own,
                      const TestCertificate& authority) {
  return "link_certificate_file: " + own.certificate_file() +
         "\nlink_key_file: " + own.key_file() +
         "\nlink_authority_file: " + authority.certificate_file() + "\n";
}

}  // namespace

TEST_GROUP(RouterTls) {
  TestDirectory keys;
};

TEST(RouterTls, ReloadKeepsStreamsAndRefusesExpiredCertificates) {
  const InstalledCertificate installed(keys.path());
  installed.Install(TestCertificate(keys.path(), "first"));
  TestFleet fleet(
      {CallerLines(installed.certificate, installed.key), "", true});
  CHECK(Await([&] { return fleet.IsReady(); }));
  CHECK_EQUAL(200, StatusOfAnswer(fleet.Send(TicketText())));

  fleet.InjectFaults(fleet.engine, R"({"speed":0.01})");
  TlsConnection stream(fleet.port());
  stream.Send(QuestionText());
  std::string answer = stream.ReadUntil("data: {");
  STRCMP_EQUAL("first", stream.SubjectOfPeer().c_str());
  installed.Install(TestCertificate(keys.path(), "second"));
  fleet.router->Signal(SIGHUP);
  CHECK(Await(
      [&] { return TlsConnection(fleet.port()).SubjectOfPeer() == "second"; }));
  installed.Install(TestCertificate(keys.path(), "third", -60, -30));
  fleet.router->Signal(SIGHUP);
  CHECK(Await([&] { return fleet.HasLogged("certificate_refused"); }));
  STRCMP_CONTAINS("expired on", fleet.Log().c_str());
  STRCMP_EQUAL("second", TlsConnection(fleet.port()).SubjectOfPeer().c_str());
  fleet.InjectFaults(fleet.engine, R"({"speed":1})");
  answer += stream.ReadToEnd();
  STRCMP_CONTAINS("data: [DONE]", answer.c_str());
}

TEST(RouterTls, RefusesLinkWithUnknownCertificate) {
  const TestCertificate ours(keys.path(), "fleet");
  const TestCertificate unknown(keys.path(), "foreign");
  TestFleet fleet({LinkLines(ours, ours), LinkLines(ours, ours), false});
  CHECK(Await([&] { return fleet.IsReady(); }));
  CHECK_EQUAL(200, StatusOfAnswer(fleet.Send(TicketText())));

  fleet.router = fleet.StartRouter("router-2", LinkLines(unknown, ours));
  CHECK(Await([&] { return fleet.HasLogged("link_refused", "dispatch-1"); }));
  CHECK(Await([&] { return fleet.HasLogged("config_in_force", "router-2"); }));
  const std::string refusal = fleet.Send(TicketText());
  CHECK_EQUAL(503, StatusOfAnswer(refusal));
  STRCMP_CONTAINS("\"not_run\":true", refusal.c_str());
  STRCMP_CONTAINS("\"links\":0", fleet.Get("/status").c_str());
  CHECK_EQUAL(503, StatusOfAnswer(fleet.Get("/readyz")));
}

TEST(RouterTls, StartReportsUnusableCertificates) {
  TestFleet fleet;
  const TestCertificate good(keys.path(), "good");
  const TestCertificate old(keys.path(), "old", -60, -30);
  const struct {
    const char* name;
    std::string lines;
    const char* message;
  } cases[] = {
      {"expired-caller", CallerLines(old.certificate_file(), old.key_file()),
       "expired on"},
      {"foreign-key", CallerLines(good.certificate_file(), old.key_file()),
       "private key"},
      {"missing", CallerLines("/no/file", "/no/file"), "/no/file"},
      {"half", "tls_key_file: " + good.key_file() + "\n", "only one of"},
      {"expired-link", LinkLines(old, good), "expired on"},
  };
  for (const auto& c : cases) {
    const auto router = fleet.StartRouter(c.name, c.lines);
    CHECK_EQUAL_TEXT(1, router->Wait(), c.name);
    STRCMP_CONTAINS_TEXT(c.message, fleet.Log(c.name).c_str(), c.name);
  }
}
