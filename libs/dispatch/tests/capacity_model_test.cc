#include "capacity_model.h"

#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::CapacityCoefficients;
using godwit::dispatch::CapacityModel;

TEST_GROUP(CapacityModel){};

// Guards against a factor that outlasts the other work at the server.
TEST(CapacityModel, AStatedWorkTimeReturnsToTheUsual) {
  struct Case {
    int64_t percent;
    int64_t age_ms;
    double factor;
  };
  const std::vector<Case> cases = {{250, 0, 2.5},  {250, 500, 1.75},
                                   {250, 1000, 1}, {250, 60'000, 1},
                                   {50, 0, 0.5},   {100, 10, 1}};
  for (const Case& c : cases) {
    CapacityModel model;
    model.UpdateWorkTime(Millis(5000), c.percent);
    DOUBLES_EQUAL(c.factor, model.WorkTimeFactor(Millis(5000 + c.age_ms)),
                  1e-9);
  }
  DOUBLES_EQUAL(1, CapacityModel().WorkTimeFactor(Millis(5000)), 0);
}

// Guards against a model that does not learn the speed of a server, or takes
// the phases in which work takes longer for it.
TEST(CapacityModel, LearnsFixedTimeAndPrefillTime) {
  struct Case {
    const char* name;
    double fixed_ms;
    double ms_per_token;
    double confidence;
  };
  const std::vector<Case> cases = {{"slow", 157, 0.0334, 1},
                                   {"fast", 65, 0.0137, 1},
                                   {"hardly known", 110, 0.0234, 0.3}};
  for (const Case& c : cases) {
    CapacityModel model;
    std::mt19937_64 random(3);
    for (int i = 0; i < 200; ++i) {
      const auto tokens = static_cast<double>(800 + random() % 8'200);
      const double factor = i % 7 == 0 ? 2.5 : 1;
      model.ObserveFirstByte((c.fixed_ms + c.ms_per_token * tokens) * factor,
                             tokens, factor, c.confidence);
    }
    for (const double tokens : {800, 9'000}) {
      const double expected = c.fixed_ms + c.ms_per_token * tokens;
      DOUBLES_EQUAL_TEXT(expected, model.FirstByteMs(Millis(5000), tokens),
                         expected * 0.08, c.name);
    }
  }
}

// Guards against a server that is taken to be as fast as the defaults until it
// has answered, and against observations without weight that count.
TEST(CapacityModel, StartsFromTheInitialCoefficients) {
  const CapacityCoefficients initial{110, 0.03, 40};
  CapacityModel model(initial);
  DOUBLES_EQUAL(110 + 0.03 * 2'000, model.FirstByteMs(Millis(0), 2'000), 1e-9);
  DOUBLES_EQUAL(40, model.EventMs(Millis(0)), 1e-9);
  model.ObserveFirstByte(500, 2'000, 1, 0);
  DOUBLES_EQUAL(170, model.FirstByteMs(Millis(0), 2'000), 1e-6);
}

// Guards against predictions that are not positive after extreme observations.
TEST(CapacityModel, PredictionsStayPositive) {
  CapacityModel model;
  for (int i = 0; i < 100; ++i) {
    model.ObserveFirstByte(i % 2 == 0 ? 0 : 1e9, i % 2 == 0 ? 9'000 : 0, 1, 1);
    model.ObserveEvents(Millis(0), 0, 1);
  }
  CHECK(model.FirstByteMs(Millis(0), 0) > 0);
  CHECK(model.FirstByteMs(Millis(0), 9'000) > 0);
  CHECK(model.EventMs(Millis(0)) > 0);
  CHECK(model.FirstByteMs(Millis(0), 9'000) < 1e9);
}

TEST(CapacityModel, LearnsTheTimeOfAnEvent) {
  CapacityModel model;
  for (int i = 0; i < 200; ++i) {
    model.ObserveEvents(Millis(0), 120, 3);
  }
  DOUBLES_EQUAL(40, model.EventMs(Millis(0)), 0.5);
  model.UpdateWorkTime(Millis(0), 200);
  DOUBLES_EQUAL(80, model.EventMs(Millis(0)), 1);
}
