#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "agent_daemon.h"
#include "config/config.h"
#include "config/lookup.h"
#include "config/parser.h"
#include "config/settings.h"
#include "config/settings_reader.h"
#include "router_settings.h"

#include <CppUTest/TestHarness.h>

using godwit::base::ProcessId;
using godwit::config::Config;
using godwit::config::Parser;
using godwit::config::ServiceKind;
using godwit::config::SettingsReader;

namespace {

std::string PathOf(const std::string& name) {
  const char* source = std::getenv("GODWIT_SOURCE_DIR");
  return std::string(source == nullptr ? "." : source) + "/samples/" + name;
}

Config Read(const std::string& name) {
  std::ifstream file(PathOf(name));
  std::ostringstream text;
  text << file.rdbuf();
  Parser parser;
  auto config = parser.Parse(text.str(), 1);
  CHECK_TEXT(config.has_value(), parser.last_error().ToString().c_str());
  return *config;
}

struct Deployment {
  const char* name;
  const char* plain;
  const char* organisation;
};

constexpr Deployment kDeployments[] = {
    {"lantern-line", "dispatch", "kiosk-line"},
    {"brennan", "bookings", "web-chat"},
};

}  // namespace

TEST_GROUP(Samples){};

TEST(Samples, ConfigurationsHaveTheSizesOfTheDeployments) {
  for (const Deployment& deployment : kDeployments) {
    const Config config = Read(std::string(deployment.name) + ".yaml");
    CHECK_EQUAL(2, config.services.size());
    CHECK(config.services[0].kind == ServiceKind::kModelPool);
    CHECK_EQUAL(12, config.services[0].backend_servers.size());
    CHECK_EQUAL(4, config.services[1].backend_servers.size());
    CHECK_EQUAL(10, config.organisations.size());
    const auto* organisation = FindOrganisationByApiKey(
        config, std::string(deployment.organisation) + "-sample-key");
    CHECK(organisation != nullptr);
    CHECK(organisation->id.value() == deployment.organisation);
  }
}

TEST(Samples, SettingsFitTheProgramsAndTheConfigurations) {
  for (const Deployment& deployment : kDeployments) {
    const std::string start = std::string("settings/") + deployment.name + "-";
    const Config config = Read(std::string(deployment.name) + ".yaml");
    SettingsReader router;
    godwit::router_daemon::DeclareSettings(router);
    CHECK_TEXT(router.ReadFile(PathOf(start + "router.yaml")),
               router.last_error().ToString().c_str());
    for (const std::string& kind :
         {std::string("engine"), std::string(deployment.plain)}) {
      SettingsReader agent;
      godwit::agent_daemon::DeclareSettings(agent);
      const auto settings =
          agent.ReadFile(PathOf(start + kind + "-agent.yaml"));
      CHECK_TEXT(settings.has_value(), agent.last_error().ToString().c_str());
      CHECK(FindServiceOfAgent(config, ProcessId(settings->Text("process"))) !=
            nullptr);
    }
  }
}
