#include "relay/event_framer.h"

#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using godwit::relay::EventFramer;
using godwit::relay::StreamPosition;

namespace {

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) +
         "\n\n";
}

std::string Events(int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) {
    text += Event(id);
  }
  return text;
}

}  // namespace

TEST_GROUP(EventFramer){};

TEST(EventFramer, ReturnsCompleteEventsOnly) {
  EventFramer framer;
  CHECK(framer.Feed("id: 1\nda").empty());
  CHECK_EQUAL(8, framer.pending_bytes());
  CHECK(framer.Feed("ta: a\n\nid: 2\n") == "id: 1\ndata: a\n\n");
  CHECK(framer.position() == (StreamPosition{1, 1}));
}

// Guards against streams that go on for ever without an event.
TEST(EventFramer, CountsNeitherCommentsNorTheSameRepeatAgain) {
  struct Case {
    const char* name;
    std::string bytes;
    int64_t events;
    int64_t repeats;
    std::string returned;
  };
  const std::vector<Case> cases = {
      {"comment", ": wait\n\n", 0, 0, ": wait\n\n"},
      {"empty event", "\n\n", 0, 0, "\n\n"},
      {"comment within an event", ": wait\ndata: a\n\n", 1, 0,
       ": wait\ndata: a\n\n"},
      {"repeats", Events(1, 3), 0, 3, ""},
      {"one repeat for ever", Event(2) + Event(2) + Event(2), 0, 1, ""},
      {"repeats and a new event", Events(2, 4), 1, 2, Event(4)},
  };
  for (const Case& c : cases) {
    EventFramer first;
    first.Feed(Events(1, 3));
    EventFramer framer(first.position());
    const std::string returned(framer.Feed(c.bytes));
    STRCMP_EQUAL_TEXT(c.returned.c_str(), returned.c_str(), c.name);
    CHECK_EQUAL_TEXT(3 + c.events, framer.position().events, c.name);
    CHECK_EQUAL_TEXT(c.repeats, framer.repeats(), c.name);
  }
}

TEST(EventFramer, ResumesOnAnotherBackendWithoutLossOrRepeats) {
  struct Case {
    const char* name;
    std::string first;
    std::string second;
    std::string expected;
  };
  const std::vector<Case> cases = {
      {"between events", Events(1, 3), Events(4, 5), Events(1, 5)},
      {"within an event", Events(1, 3) + "id: 4\nda", Events(4, 5),
       Events(1, 5)},
      {"with repeated events", Events(1, 3), Events(2, 5), Events(1, 5)},
      {"from the start", Events(1, 3), Events(1, 5), Events(1, 5)},
      {"before the first event", "id: 1", Events(1, 2), Events(1, 2)},
  };
  for (const Case& c : cases) {
    EventFramer first;
    std::string out(first.Feed(c.first));
    EventFramer second(first.position());
    out += second.Feed(c.second);
    STRCMP_EQUAL_TEXT(c.expected.c_str(), out.c_str(), c.name);
    CHECK_EQUAL_TEXT(0, second.pending_bytes(), c.name);
  }
}

TEST(EventFramer, OutputDoesNotDependOnHowBytesAreSplit) {
  const bool holds = rc::check([] {
    const int count = *rc::gen::inRange(1, 12);
    const std::string complete_stream = Events(1, count);
    EventFramer framer;
    std::string out;
    for (size_t at = 0; at < complete_stream.size();) {
      const auto size = *rc::gen::inRange<size_t>(1, 40);
      out += framer.Feed(std::string_view(complete_stream).substr(at, size));
      at += size;
    }
    RC_ASSERT(out == complete_stream);
    RC_ASSERT(framer.position().events == count);
    RC_ASSERT(framer.pending_bytes() == 0);
  });
  CHECK(holds);
}

TEST(EventFramer, EventsThatCantFollowAreReturned) {
  struct Case {
    const char* name;
    StreamPosition received;
    std::string bytes;
    std::string returned;
    bool is_out_of_order;
  };
  const std::string steps = "id: 5\ndata: a\n\nid: 10\ndata: b\n\n";
  const std::vector<Case> cases = {
      {"in order", {}, Events(1, 4), Events(1, 4), false},
      {"twice", {}, Events(1, 2) + Events(2, 3), Events(1, 2), true},
      {"goes back", {}, Events(1, 3) + Event(1), Events(1, 3), true},
      {"increasing ids", {}, steps, steps, false},
      {"continuation", {2, 2, true}, Events(3, 4), Events(3, 4), false},
      {"repeats", {2, 2, true}, Events(1, 4), Events(3, 4), false},
      {"event is missing", {2, 2, true}, Events(4, 5), "", true},
      {"repeats, then goes back",
       {2, 2, true},
       Events(2, 4) + Events(3, 5),
       Events(3, 4),
       true},
      {"ids that are no numbers of events", {1, 3, false}, steps, steps, false},
      {"caller has two events",
       {0, 2, true},
       Events(3, 4),
       Events(3, 4),
       false},
      {"caller has two events, repeats",
       {0, 2, true},
       Events(1, 4),
       Events(3, 4),
       false},
  };
  for (const Case& c : cases) {
    EventFramer framer(c.received, true);
    STRCMP_EQUAL_TEXT(c.returned.c_str(),
                      std::string(framer.Feed(c.bytes)).c_str(), c.name);
    CHECK_EQUAL_TEXT(c.is_out_of_order, framer.is_out_of_order(), c.name);
  }
  EventFramer unchecked;
  STRCMP_EQUAL((Event(2) + Event(1)).c_str(),
               std::string(unchecked.Feed(Event(2) + Event(1))).c_str());
}

TEST(EventFramer, DetectsAnEventWithoutEnd) {
  EventFramer framer;
  constexpr size_t piece_bytes = 8 * 1024;
  constexpr size_t most_pieces = 64;
  size_t pieces = 0;
  while (!framer.is_overlong() && pieces < most_pieces) {
    CHECK(framer.Feed(std::string(piece_bytes, 'x')).empty());
    ++pieces;
  }
  CHECK(framer.is_overlong());
  // What an answer to a prompt may hold in one event is none.
  CHECK(pieces * piece_bytes > size_t{64} * 1024);
  CHECK(!EventFramer(framer.position()).is_overlong());
}
