#include <string>
#include <vector>

#include "dispatch/backend_directory.h"
#include "dispatch/routing_table.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::ServiceId;
using godwit::dispatch::Backend;
using godwit::dispatch::BackendDirectory;
using godwit::dispatch::Organisation;
using godwit::dispatch::Route;
using godwit::dispatch::RoutingTable;

namespace {

Route RouteAt(const char* name, const char* prefix, int64_t priority) {
  Route route;
  route.name = name;
  route.host = "a.example";
  route.prefix = prefix;
  route.priority = priority;
  route.targets = {{ServiceId("model"), 1}};
  return route;
}

RoutingTable Table() {
  RoutingTable::Contents contents;
  contents.version = 3;
  contents.routes = {RouteAt("root", "/", 2), RouteAt("a", "/a/", 0),
                     RouteAt("ab", "/a/b/", 1)};
  contents.organisations = {{OrganisationId("lantern"), {"k1", "k2"}, 1, 100},
                            {OrganisationId("brennan"), {"k3"}, 0, {}}};
  return RoutingTable(std::move(contents));
}

Backend Server(const char* instance, int64_t started_at = 1) {
  Backend backend;
  backend.instance = instance;
  backend.started_at_ms = started_at;
  backend.service = ServiceId("model");
  backend.address = {"10.0.0.1", 80};
  return backend;
}

}  // namespace

TEST_GROUP(RoutingTable){};

TEST(RoutingTable, MatchesTheLongestPrefix) {
  struct Case {
    const char* host;
    const char* path;
    const char* route;
  };
  const std::vector<Case> cases = {
      {"a.example", "/a/b/c", "ab"},    {"a.example", "/a/b/", "ab"},
      {"a.example", "/a/b", "a"},       {"a.example", "/a/x/b/", "a"},
      {"a.example", "/ab/", "root"},    {"a.example", "/", "root"},
      {"a.example:80", "/a/b/c", "ab"}, {"b.example", "/a/b/c", nullptr},
      {"a.example", "a/b", nullptr},    {"a.example", "", nullptr}};
  const RoutingTable table = Table();
  for (const Case& c : cases) {
    const Route* const route = table.Match(c.host, c.path);
    CHECK_EQUAL_TEXT(c.route == nullptr, route == nullptr, c.path);
    if (route != nullptr) {
      STRCMP_EQUAL_TEXT(c.route, route->name.c_str(), c.path);
    }
  }
}

TEST(RoutingTable, FindsTheOrganisationOfAKey) {
  const RoutingTable table = Table();
  CHECK(table.FindOrganisation("k2")->id == OrganisationId("lantern"));
  CHECK(table.FindOrganisation("k3")->id == OrganisationId("brennan"));
  CHECK(table.FindOrganisation("") == nullptr);
  CHECK(table.FindOrganisation("k") == nullptr);
}

TEST(RoutingTable, RanksOrganisationPriorityBeforeRoutePriority) {
  const RoutingTable table = Table();
  const Organisation& lantern = table.organisations()[0];
  const Organisation& brennan = table.organisations()[1];
  const Route& least_urgent = table.routes()[0];
  const Route& most_urgent = table.routes()[1];
  CHECK(table.UrgencyOf(least_urgent, &brennan) <
        table.UrgencyOf(most_urgent, &lantern));
  CHECK(table.UrgencyOf(most_urgent, &lantern) <
        table.UrgencyOf(least_urgent, &lantern));
  CHECK(table.UrgencyOf(least_urgent, &lantern) <
        table.UrgencyOf(most_urgent, nullptr));
  CHECK(table.UrgencyOf(least_urgent, nullptr) <= 9);
}

TEST_GROUP(BackendDirectory){};

TEST(BackendDirectory, AppliesRegistrations) {
  BackendDirectory directory;
  directory.OnListed(Millis(0), {Server("s1"), Server("s2")});
  CHECK_EQUAL(2, directory.UsableBackends(ServiceId("model")).size());
  Backend leaving = Server("s1");
  leaving.draining = true;
  directory.OnUpdated(leaving);
  CHECK_EQUAL(1, directory.UsableBackends(ServiceId("model")).size());
  directory.OnRemoved(Millis(2), "s2");
  CHECK_EQUAL(0, directory.UsableBackends(ServiceId("model")).size());
}

TEST(BackendDirectory, UsesAReplacedServerAgainOnlyAsANewIncarnation) {
  BackendDirectory directory;
  directory.OnListed(Millis(0), {Server("s1")});
  directory.MarkReplaced("s1");
  CHECK(directory.UsableBackends(ServiceId("model")).empty());
  directory.OnUpdated(Server("s1"));
  CHECK(directory.UsableBackends(ServiceId("model")).empty());
  directory.OnUpdated(Server("s1", 2));
  CHECK_EQUAL(1, directory.UsableBackends(ServiceId("model")).size());
}

TEST(BackendDirectory, DoesNotBelieveAnOldCopyOfTheRegistry) {
  const auto draining = [](Backend server) {
    server.draining = true;
    return server;
  };
  struct Case {
    const char* name;
    // What was known, what the copy shows, and what was written again.
    std::vector<Backend> known;
    std::vector<std::string> removed;
    std::vector<Backend> copy;
    std::vector<Backend> written;
    // Usable servers right after the return and after the grace.
    size_t at_once;
    size_t later;
  };
  const std::vector<Case> cases = {
      {"missing and written again",
       {Server("s1")},
       {},
       {},
       {Server("s1")},
       1,
       1},
      {"missing for good", {Server("s1")}, {}, {}, {}, 1, 0},
      {"draining", {draining(Server("s1"))}, {}, {Server("s1")}, {}, 0, 0},
      {"an earlier incarnation",
       {Server("s1", 2)},
       {},
       {Server("s1", 1)},
       {},
       1,
       1},
      {"a later incarnation",
       {Server("s1", 1)},
       {},
       {Server("s1", 2)},
       {},
       1,
       1},
      {"removed before", {Server("s1")}, {"s1"}, {Server("s1")}, {}, 0, 1},
      {"removed before, and registered again",
       {Server("s1")},
       {"s1"},
       {Server("s1")},
       {Server("s1")},
       1,
       1},
  };
  for (const Case& c : cases) {
    BackendDirectory directory;
    directory.OnListed(Millis(0), c.known);
    for (const std::string& instance : c.removed) {
      directory.OnRemoved(Millis(100), instance);
    }
    directory.OnStoreReturned(Millis(1000));
    directory.OnListed(Millis(1010), c.copy);
    for (const Backend& backend : c.written) {
      directory.OnUpdated(backend);
    }
    directory.Tick(Millis(1020));
    CHECK_EQUAL_TEXT(
        c.at_once, directory.UsableBackends(ServiceId("model")).size(), c.name);
    directory.Tick(Millis(4000));
    CHECK_EQUAL_TEXT(
        c.later, directory.UsableBackends(ServiceId("model")).size(), c.name);
  }
}

TEST(BackendDirectory, KeepsServersThatLapsedDuringAStoreOutage) {
  struct Case {
    const char* name;
    bool store_was_unavailable;
    bool draining;
    int64_t after_ms;
    size_t usable;
  };
  const std::vector<Case> cases = {
      {"removed", false, false, 0, 0},
      {"lapsed, right after the outage", true, false, 500, 1},
      {"lapsed, too long after the outage", true, false, 2500, 0},
      {"was draining", true, true, 500, 0}};
  for (const Case& c : cases) {
    BackendDirectory directory;
    Backend server = Server("s1");
    server.draining = c.draining;
    directory.OnListed(Millis(0), {server});
    if (c.store_was_unavailable) {
      directory.OnStoreUnavailable();
      directory.OnStoreAvailable(Millis(5000));
    }
    directory.OnListed(Millis(5000), {});
    directory.Tick(Millis(5000 + c.after_ms));
    CHECK_EQUAL_TEXT(
        c.usable, directory.UsableBackends(ServiceId("model")).size(), c.name);
  }
}

TEST(BackendDirectory, KeepsALapsedServerThatRegistersAgain) {
  BackendDirectory directory;
  directory.OnListed(Millis(0), {Server("s1")});
  directory.OnStoreUnavailable();
  directory.OnStoreAvailable(Millis(5000));
  directory.OnListed(Millis(5000), {});
  directory.OnUpdated(Server("s1"));
  directory.Tick(Millis(9000));
  CHECK_EQUAL(1, directory.UsableBackends(ServiceId("model")).size());
}
