#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include "core_thread.h"
#include "http/exchange.h"
#include "http/request.h"
#include "http/server.h"
#include "raw_connection.h"
#include "support/test_certificate.h"
#include "support/test_directory.h"
#include "tls_connection.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Error;
using godwit::base::ErrorKind;
using godwit::base::Seconds;
using godwit::http::CoreThread;
using godwit::http::Exchange;
using godwit::http::RawConnection;
using godwit::http::Server;
using godwit::http::TlsConnection;
using godwit::support::TestCertificate;
using godwit::support::TestDirectory;

namespace {

constexpr size_t kStreamBytes = 8 * 1024 * 1024;
const std::string kGet = "GET / HTTP/1.1\r\n\r\n";
const std::string kGetAndClose = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
const std::string kStream = "GET /stream HTTP/1.1\r\nConnection: close\r\n\r\n";
const std::string kHold = "GET /hold HTTP/1.1\r\n\r\n";

void Copy(const std::string& from, const std::string& to) {
  std::filesystem::copy_file(from, to,
                             std::filesystem::copy_options::overwrite_existing);
}

}  // namespace

TEST_GROUP(Tls) {
  void setup() override {
    Install(TestCertificate(directory.path(), "first"));
    Server::Builder builder;
    builder.Tls(certificate_file, key_file)
        .ReadTimeout(Seconds(1))
        .Handle([this](std::shared_ptr<Exchange> exchange) {
          Handle(std::move(exchange));
        });
    server = builder.Build(core.runtime());
  }

  void teardown() override {
    core.Call<bool>([this] {
      held_exchange = nullptr;
      server = nullptr;
      return true;
    });
  }

  void Handle(std::shared_ptr<Exchange> exchange) {
    const std::string& target = exchange->request().target;
    if (target == "/stream") {
      exchange->BeginStream(200, {});
      exchange->Write(std::string(kStreamBytes, 'a'));
      exchange->EndStream();
    } else if (target == "/hold") {
      exchange->OnCallerDisconnected(
          [this] { caller_disconnected.set_value(); });
      held_exchange = std::move(exchange);
      request_held.set_value();
    } else {
      exchange->Respond({200, {}, "answer"});
    }
  }

  void Install(const TestCertificate& certificate) {
    Copy(certificate.certificate_file(), certificate_file);
    Copy(certificate.key_file(), key_file);
  }

  TestDirectory directory;
  const std::string certificate_file = directory.path() + "/server.crt";
  const std::string key_file = directory.path() + "/server.key";
  CoreThread core;
  std::unique_ptr<Server> server;
  std::shared_ptr<Exchange> held_exchange;
  std::promise<void> caller_disconnected;
  std::promise<void> request_held;
};

TEST(Tls, AnswersAndClosesTheSessionCleanly) {
  TlsConnection connection(server->port());
  connection.Send(kGet);
  STRCMP_CONTAINS("200 OK", connection.ReadUntil("answer").c_str());
  connection.Send(kGetAndClose);
  STRCMP_CONTAINS("answer", connection.ReadToEnd().c_str());
  CHECK(connection.closed_cleanly());
}

TEST(Tls, StreamsLargeAnswers) {
  TlsConnection connection(server->port());
  connection.Send(kStream);
  const std::string answer = connection.ReadToEnd();
  CHECK(answer.size() > kStreamBytes);
  CHECK(answer.substr(answer.size() - 7) == "\r\n0\r\n\r\n");
}

TEST(Tls, DetectsCallerDisconnect) {
  auto connection = std::make_unique<TlsConnection>(server->port());
  connection->Send(kHold);
  request_held.get_future().wait();
  connection = nullptr;
  caller_disconnected.get_future().wait();
}

TEST(Tls, PlainAndIdleCallersAreDroppedAndOthersServed) {
  RawConnection plain(server->port());
  plain.Send(kGet);
  CHECK(plain.ReadToEnd().find("HTTP") == std::string::npos);
  RawConnection unresponsive(server->port());
  CHECK(unresponsive.ReadToEnd().empty());
  TlsConnection connection(server->port());
  connection.Send(kGet);
  STRCMP_CONTAINS("200 OK", connection.ReadUntil("answer").c_str());
}

TEST(Tls, ReloadServesNewConnectionsAndKeepsOpenOnes) {
  TlsConnection open(server->port());
  STRCMP_EQUAL("first", open.SubjectOfPeer().c_str());
  open.Send(kHold);
  request_held.get_future().wait();
  Install(TestCertificate(directory.path(), "second"));
  Error reason;
  CHECK(server->ReloadTls(&reason));
  STRCMP_EQUAL("second", TlsConnection(server->port()).SubjectOfPeer().c_str());
  core.Call<bool>([this] {
    held_exchange->Respond({200, {}, "late answer"});
    return true;
  });
  STRCMP_CONTAINS("200 OK", open.ReadUntil("late answer").c_str());
}

TEST(Tls, UnusableFilesAreRefusedAndPreviousOnesStayInUse) {
  const TestCertificate other(directory.path(), "other");
  const struct {
    const char* name;
    std::string certificate;
    std::string key;
  } cases[] = {
      {"key of another certificate", certificate_file, other.key_file()},
      {"not PEM", directory.path() + "/text", key_file},
      {"missing", directory.path() + "/missing", key_file},
  };
  std::ofstream(directory.path() + "/text") << "hello";
  for (const auto& files : cases) {
    Server::Builder builder;
    builder.Tls(files.certificate, files.key);
    CHECK_TEXT(!builder.Build(core.runtime()), files.name);
    CHECK_TEXT(builder.last_error().kind() == ErrorKind::kInvalidArgument,
               files.name);
  }
  Error reason;
  std::filesystem::remove(key_file);
  CHECK(!server->ReloadTls(&reason));
  STRCMP_CONTAINS("server.key", reason.message().c_str());
  STRCMP_EQUAL("first", TlsConnection(server->port()).SubjectOfPeer().c_str());
}
