#include "config/lookup.h"

#include "config/config.h"
#include "config/parser.h"

#include <CppUTest/TestHarness.h>

using godwit::base::OrganisationId;
using godwit::base::ProcessId;
using godwit::base::ServiceId;
using godwit::config::Config;
using godwit::config::Parser;

namespace {

Config SampleConfig() {
  return *Parser().Parse(
      "classes: {quotes: {}, chat: {}}\n"
      "services:\n"
      "  q: {kind: model_pool, model: m, backend_servers: [agent-1]}\n"
      "  crew: {kind: plain, backend_servers: [agent-2]}\n"
      "organisations:\n"
      "  acme:\n"
      "    budget: b\n"
      "    api_key_hashes: [" +
          godwit::config::HashApiKey("secret") + "]\n",
      1);
}

}  // namespace

TEST_GROUP(Lookup){};

TEST(Lookup, HashIsSha256) {
  STRCMP_EQUAL(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
      godwit::config::HashApiKey("abc").c_str());
}

TEST(Lookup, FindsByEachKey) {
  const Config config = SampleConfig();
  const auto* pool = &config.services[0];
  const auto* crew = &config.services[1];
  CHECK(FindService(config, ServiceId("crew")) == crew);
  CHECK(FindService(config, ServiceId("none")) == nullptr);
  CHECK(FindServiceByModel(config, "m") == pool);
  CHECK(FindServiceByModel(config, "") == nullptr);
  CHECK(FindServiceOfAgent(config, ProcessId("agent-2")) == crew);
  CHECK(FindServiceOfAgent(config, ProcessId("agent-3")) == nullptr);
  const auto* acme = &config.organisations[0];
  CHECK(FindOrganisation(config, OrganisationId("acme")) == acme);
  CHECK(FindOrganisationByApiKey(config, "secret") == acme);
  CHECK(FindOrganisationByApiKey(config, "Secret") == nullptr);
  CHECK(FindClass(config, "") == &config.classes[0]);
  CHECK(FindClass(config, "chat") == &config.classes[1]);
  CHECK(FindClass(config, "none") == nullptr);
}
