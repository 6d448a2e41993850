#include "config/config_diff.h"

#include "config/config.h"
#include "config/parser.h"

#include <CppUTest/TestHarness.h>

using godwit::config::Config;
using godwit::config::ConfigDiff;
using godwit::config::DiffText;
using godwit::config::Parser;

TEST_GROUP(ConfigDiff){};

TEST(ConfigDiff, NamesAddedRemovedAndChangedEntries) {
  const auto before = Parser().Parse(
      "classes: {a: {}, b: {}}\n"
      "services: {x: {kind: plain, backend_servers: [p], max_running: 4}}\n"
      "organisations: {}\n",
      1);
  const auto after = Parser().Parse(
      "classes: {b: {}, a: {}}  # comment\n"
      "services:\n"
      "  x: {kind: plain, backend_servers: [p, q], call_cost: 2}\n"
      "organisations: {}\n",
      2);
  STRCMP_EQUAL(
      "~ classes (default): a -> b\n"
      "~ services.x.backend_servers: [p] -> [p, q]\n"
      "+ services.x.call_cost: 2\n"
      "- services.x.max_running: 4\n",
      DiffText(ConfigDiff(*before, *after)).c_str());
  STRCMP_EQUAL("no difference\n", DiffText(ConfigDiff(*after, *after)).c_str());
  CHECK_EQUAL(7, ConfigDiff(Config(), *after).size());
}
