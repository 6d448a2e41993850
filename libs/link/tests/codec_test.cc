#include <rapidcheck.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "link/codec.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Digest;
using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::base::TypedId;
using godwit::link::Codec;
using godwit::link::Message;
using godwit::link::RunData;
using godwit::link::RunPhase;

namespace {

// Sets each field to an arbitrary valid value.
class FieldFiller {
 public:
  void operator()(const char* /*name*/, std::string& field) {
    const auto bytes = *rc::gen::arbitrary<std::vector<char>>();
    field.assign(bytes.begin(), bytes.end());
  }
  void operator()(const char* /*name*/, Digest& field) {
    field = Digest(*rc::gen::arbitrary<uint64_t>(),
                   *rc::gen::arbitrary<uint64_t>());
  }
  void operator()(const char* /*name*/, Millis& field) {
    field = Millis(*rc::gen::arbitrary<int64_t>());
  }
  void operator()(const char* /*name*/, ErrorKind& field) {
    field = static_cast<ErrorKind>(*rc::gen::inRange(0, 24));
  }
  void operator()(const char* /*name*/, RunPhase& field) {
    field = static_cast<RunPhase>(*rc::gen::inRange(0, 5));
  }
  template <typename Tag>
  void operator()(const char* /*name*/, TypedId<Tag>& field) {
    field = TypedId<Tag>(*rc::gen::arbitrary<std::string>());
  }
  template <typename Number>
  void operator()(const char* /*name*/, Number& field) {
    field = *rc::gen::arbitrary<Number>();
  }
};

template <size_t... kTypes>
Message AnyMessage(size_t type, std::index_sequence<kTypes...> /*unused*/) {
  Message message;
  (void)((type == kTypes ? (message.emplace<kTypes>(), true) : false) || ...);
  std::visit(
      [](auto& typed) {
        FieldFiller filler;
        std::decay_t<decltype(typed)>::ForEachField(typed, filler);
      },
      message);
  return message;
}

Message AnyMessage() {
  constexpr size_t k_type_count = std::variant_size_v<Message>;
  return AnyMessage(*rc::gen::inRange<size_t>(0, k_type_count),
                    std::make_index_sequence<k_type_count>());
}

}  // namespace

TEST_GROUP(Codec){};

TEST(Codec, EveryMessageRoundTrips) {
  CHECK(rc::check([] {
    const Message message = AnyMessage();
    Codec codec;
    const auto decoded = codec.Decode(Codec::Encode(message));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == message);
  }));
}

TEST(Codec, DamagedFramesNeverThrow) {
  CHECK(rc::check([] {
    std::string frame = Codec::Encode(AnyMessage());
    const auto at = *rc::gen::inRange<size_t>(0, frame.size());
    frame[at] = *rc::gen::arbitrary<char>();
    frame.resize(*rc::gen::inRange<size_t>(0, frame.size() + 1));
    Codec codec;
    const auto decoded = codec.Decode(frame);
    RC_ASSERT(decoded.has_value() ||
              codec.last_error().kind() != ErrorKind::kNone);
  }));
}

TEST(Codec, RefusesInvalidFrames) {
  using namespace std::string_literals;
  struct Case {
    const char* name;
    std::string bytes;
    ErrorKind kind;
  };
  const Case cases[] = {
      {"nothing", "", ErrorKind::kMalformed},
      {"text", "GET / HTTP/1.1", ErrorKind::kMalformed},
      {"bare number", "\x01", ErrorKind::kMalformed},
      {"empty array", "\x80", ErrorKind::kMalformed},
      {"map", "\xa1\x61\x61\x01", ErrorKind::kMalformed},
      {"type is text", "\x81\x61\x61", ErrorKind::kMalformed},
      {"unknown type", "\x81\x18\xc8", ErrorKind::kProtocol},
      {"negative type", "\x81\x20", ErrorKind::kProtocol},
      {"no fields", "\x81\x01", ErrorKind::kMalformed},
      {"mismatched field type", "\x82\x02\x61\x61", ErrorKind::kMalformed},
      {"too many fields", "\x83\x02\x01\x01", ErrorKind::kMalformed},
      {"bytes after the frame", "\x82\x02\x01\x01", ErrorKind::kMalformed},
      {"integer beyond int64", "\x82\x02\x1b\xff\xff\xff\xff\xff\xff\xff\xff",
       ErrorKind::kMalformed},
      {"unknown phase", "\x83\x09\x61\x61\x18\x63", ErrorKind::kMalformed},
      {"huge announced length", "\x82\x02\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
       ErrorKind::kMalformed},
      {"deep nesting", std::string(1'000'000, '\x81'), ErrorKind::kMalformed},
      {"oversized", std::string(2'000'000, '\x00'), ErrorKind::kTooLarge},
  };
  for (const Case& c : cases) {
    Codec codec(1'500'000);
    CHECK_TEXT(!codec.Decode(c.bytes).has_value(), c.name);
    CHECK_TEXT(codec.last_error().kind() == c.kind, c.name);
    CHECK_TEXT(!codec.last_error().remedy().empty(), c.name);
  }
}
