#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "dispatch/backend_directory.h"

#include <CppUTest/TestHarness.h>

using godwit::base::DataCentreId;
using godwit::base::Millis;
using godwit::base::ServiceId;
using godwit::dispatch::Backend;
using godwit::dispatch::BackendDirectory;

namespace {

Backend Server(const char* instance, const char* data_centre) {
  Backend backend;
  backend.instance = instance;
  backend.service = ServiceId("model");
  backend.data_centre = DataCentreId(data_centre);
  return backend;
}

std::string Usable(const BackendDirectory& directory) {
  std::string text;
  for (const Backend* backend : directory.UsableBackends(ServiceId("model"))) {
    text += backend->instance;
  }
  return text;
}

}  // namespace

TEST_GROUP(EvacuatedDirectory){};

// Servers of an evacuated data centre that get requests, and servers that get
// none after its return.
TEST(EvacuatedDirectory, LeavesOutServersOfEvacuatedDataCentres) {
  struct Step {
    const char* name;
    int64_t at;
    // The store returns from an older copy before the step.
    bool returns;
    std::vector<const char*> data_centres;
    size_t changes;
    const char* usable;
  };
  const std::vector<Step> steps = {
      {"none", 0, false, {}, 0, "abc"},
      {"one", 100, false, {"x"}, 1, "c"},
      {"listed again", 200, false, {"x"}, 0, "c"},
      {"without servers", 300, false, {"x", "z"}, 1, "c"},
      {"all", 400, false, {"x", "y"}, 2, ""},
      {"one again", 500, false, {"x"}, 1, "c"},
      {"missing in an older copy", 1000, true, {}, 0, "c"},
      {"still missing", 2999, false, {}, 0, "c"},
      {"added meanwhile", 2999, false, {"y"}, 1, ""},
      {"missing for two seconds", 3000, false, {}, 2, "abc"},
  };
  BackendDirectory directory;
  directory.OnListed(Millis(0),
                     {Server("a", "x"), Server("b", "x"), Server("c", "y")});
  for (const Step& step : steps) {
    if (step.returns) {
      directory.OnStoreReturned(Millis(step.at));
    }
    directory.SetEvacuations(std::set<DataCentreId>(step.data_centres.begin(),
                                                    step.data_centres.end()));
    CHECK_EQUAL_TEXT(step.changes,
                     directory.ApplyEvacuations(Millis(step.at)).size(),
                     step.name);
    STRCMP_EQUAL_TEXT(step.usable, Usable(directory).c_str(), step.name);
    CHECK_EQUAL_TEXT(step.usable != std::string("abc"),
                     directory.HasEvacuatedBackends(ServiceId("model")),
                     step.name);
  }
}

TEST(EvacuatedDirectory, AppliesToServersThatRegisterLater) {
  BackendDirectory directory;
  directory.OnListed(Millis(0), {});
  directory.SetEvacuations({DataCentreId("x")});
  const auto changes = directory.ApplyEvacuations(Millis(100));
  CHECK_EQUAL(1, changes.size());
  CHECK(changes.front().is_evacuated);
  CHECK_EQUAL(0, changes.front().servers);
  directory.OnUpdated(Server("a", "x"));
  directory.OnUpdated(Server("b", ""));
  STRCMP_EQUAL("b", Usable(directory).c_str());
  CHECK(directory.ApplyEvacuations(Millis(200)).empty());
}
