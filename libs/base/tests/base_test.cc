#include <array>
#include <string>
#include <string_view>

#include "base/digest.h"
#include "base/digester.h"
#include "base/error.h"
#include "base/millis.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Digest;
using godwit::base::Digester;
using godwit::base::Error;
using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::base::Seconds;

TEST_GROUP(Base){};

TEST(Base, MillisArithmetic) {
  CHECK(Seconds(2) + Millis(5) == Millis(2005));
  CHECK(Millis(3) - Millis(5) == Millis(-2));
  CHECK(Millis(3) < Millis(5));
}

TEST(Base, DigestParsesOnlyLowerCaseHex) {
  struct Case {
    std::string_view text;
    bool valid;
  };
  const std::array<Case, 4> cases = {{
      {"00112233445566778899aabbccddeeff", true},
      {"00112233445566778899AABBCCDDEEFF", false},
      {"0011", false},
      {"0011223344556677 899aabbccddeeff", false},
  }};
  for (const Case& c : cases) {
    const auto digest = Digest::FromHex(c.text);
    CHECK_EQUAL(c.valid, digest.has_value());
    if (digest) {
      CHECK(digest->ToHex() == c.text);
    }
  }
}

TEST(Base, DigesterEqualsDigestOfTheJoinedBytes) {
  Digester digester;
  digester.Update("kiosk ").Update("").Update("answer");
  CHECK(digester.Value() == Digest::Of("kiosk answer"));
}

TEST(Base, ErrorNamesKindMessageAndRemedy) {
  const Error error(ErrorKind::kConflict, "version 4 is not 3", "read again");
  CHECK(error.ToString() == "conflict: version 4 is not 3; read again");
}
