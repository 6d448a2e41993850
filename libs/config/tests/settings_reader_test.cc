#include "config/settings_reader.h"

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "config/settings.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Endpoint;
using godwit::base::Millis;
using godwit::config::SettingsReader;

namespace {

void DeclareKeys(SettingsReader& reader) {
  reader.Name("process", "name of this process")
      .Ip("listen_ip", "where callers connect")
      .Port("listen_port", "0 for a free one")
      .Default("0")
      .Duration("drain_ms", "bound of a graceful stop", 0, 600000)
      .Default("30000")
      .Choice("log_format", "form of log lines", {"text", "json"})
      .Default("text")
      .Flag("verify", "check certificates")
      .Default("true")
      .Address("platform", "the platform's KV")
      .Addresses("peers", "other routers")
      .Default("[]")
      .String("certificate", "PEM file")
      .Optional();
}

const std::string kMinimal =
    "process: router-1\nlisten_ip: 127.0.0.1\nplatform: 127.0.0.1:9000\n";

}  // namespace

TEST_GROUP(SettingsReader){};

TEST(SettingsReader, GivesDefaultsForMissingKeys) {
  SettingsReader reader;
  DeclareKeys(reader);
  const auto settings = reader.Read(kMinimal, "router.yaml");
  CHECK_TEXT(settings.has_value(), reader.last_error().ToString().c_str());
  CHECK(settings->Text("process") == "router-1");
  CHECK_EQUAL(0, settings->Port("listen_port"));
  CHECK(settings->Duration("drain_ms") == Millis(30000));
  CHECK(settings->Text("log_format") == "text");
  CHECK(settings->Flag("verify"));
  CHECK((settings->Address("platform") == Endpoint{"127.0.0.1", 9000}));
  CHECK(settings->Addresses("peers").empty());
  CHECK(!settings->Has("certificate"));
}

TEST(SettingsReader, ReadsGivenKeys) {
  SettingsReader reader;
  DeclareKeys(reader);
  const auto settings = reader.Read(
      kMinimal +
          "listen_port: 8080\nverify: false\nlog_format: json\n"
          "peers: [10.0.0.1:81, '[::1]:82']\ncertificate: /etc/a.pem\n",
      "router.yaml");
  CHECK_TEXT(settings.has_value(), reader.last_error().ToString().c_str());
  CHECK_EQUAL(8080, settings->Port("listen_port"));
  CHECK(!settings->Flag("verify"));
  CHECK((settings->Addresses("peers")[1] == Endpoint{"::1", 82}));
  CHECK(settings->Text("certificate") == "/etc/a.pem");
}

TEST(SettingsReader, NamesFileLineKeyAndRemedy) {
  struct Case {
    std::string text;
    std::string message;
  };
  const std::vector<Case> cases = {
      {kMinimal + "colour: red\n",
       "router.yaml: line 4: colour is not a known key; remove it"},
      {kMinimal + "listen_port: 65536\n",
       "router.yaml: line 4: listen_port: 65536 is out of range; write a "
       "whole number from 0 to 65535"},
      {kMinimal + "listen_port: http\n", "\"http\" is not a whole number"},
      {kMinimal + "drain_ms: -1\n", "drain_ms: -1 is out of range"},
      {kMinimal + "drain_ms: [1]\n", "drain_ms: is a list"},
      {kMinimal + "verify: perhaps\n", "write one of: true, false"},
      {kMinimal + "peers: 10.0.0.1:80\n", "peers: is not a list"},
      {kMinimal + "peers: [localhost:80]\n", "\"localhost:80\" is not an"},
      {kMinimal + "process: again\n", "already given in line 1"},
      {kMinimal + "certificate: ''\n", "certificate: is empty"},
      {"process: router-1\n", "line 1: listen_ip is missing"},
      {"process: a b\n", "\"a b\" is not a name"},
      {"process: a\nlisten_ip: localhost\n", "not a host name"},
      {"", "router.yaml: line 1: the text is nothing"},
      {"a: [", "router.yaml: line "},
  };
  for (const Case& c : cases) {
    SettingsReader reader;
    DeclareKeys(reader);
    CHECK_TEXT(!reader.Read(c.text, "router.yaml"), c.text.c_str());
    STRCMP_CONTAINS(c.message.c_str(), reader.last_error().ToString().c_str());
  }
}

TEST(SettingsReader, UnfilledPlaceholderMakesTheSettingsInvalid) {
  struct Case {
    std::string line;
    Millis drain;
    size_t unfilled;
  };
  const Case cases[] = {
      {"drain_ms: '{{bounds.drainS}}000'\n", Millis(30000), 1},
      {"drain_ms: '{{#drain}}{{.}}{{/drain}}'\n", Millis(30000), 1},
      {"drain_ms: ''\n", Millis(30000), 1},
      {"drain_ms: '7000'\n", Millis(7000), 0},
      {"drain_ms: 7000\n", Millis(7000), 0},
      {"", Millis(30000), 0},
  };
  for (const Case& c : cases) {
    SettingsReader reader;
    DeclareKeys(reader);
    const auto settings = reader.Read(kMinimal + c.line, "router.yaml");
    CHECK_TEXT(settings.has_value(), reader.last_error().ToString().c_str());
    CHECK(settings->Duration("drain_ms") == c.drain);
    CHECK_EQUAL(c.unfilled, settings->unfilled().size());
  }
}

TEST(SettingsReader, RefusesUnfilledKeysWithoutDefault) {
  for (const char* line :
       {"process: '{{nodeName}}'\nlisten_ip: 127.0.0.1\nplatform: 10.0.0.1:1\n",
        "process: a\nlisten_ip: '{{ip}}'\nplatform: 10.0.0.1:1\n",
        "process: a\nlisten_ip: 127.0.0.1\nplatform: ''\n"}) {
    SettingsReader reader;
    DeclareKeys(reader);
    CHECK_TEXT(!reader.Read(line, "router.yaml"), line);
  }
}

TEST(SettingsReader, RefusesMissingFile) {
  SettingsReader reader;
  CHECK(!reader.ReadFile("no/such/file.yaml"));
  STRCMP_CONTAINS("no/such/file.yaml", reader.last_error().ToString().c_str());
}

TEST(SettingsReader, HelpListsEachKey) {
  SettingsReader reader;
  DeclareKeys(reader);
  STRCMP_CONTAINS("  drain_ms (0 to 600000 ms; default 30000)\n      bound of",
                  reader.Help().c_str());
}

TEST(SettingsReader, EndpointRejectsHostNames) {
  for (const char* text : {"127.0.0.1", "127.0.0.1:0", "a:80", "::1:80",
                           "127.0.0.1:70000", "[127.0.0.1]:80", ":80"}) {
    CHECK_TEXT(!Endpoint::FromText(text), text);
  }
  for (const char* text : {"127.0.0.1:80", "[::1]:65535"}) {
    STRCMP_EQUAL(text, Endpoint::FromText(text)->ToText().c_str());
  }
}
