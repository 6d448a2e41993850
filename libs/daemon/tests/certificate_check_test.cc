#include "daemon/certificate_check.h"

#include <string>

#include "base/clocks.h"
#include "support/test_certificate.h"
#include "support/test_directory.h"

#include <CppUTest/TestHarness.h>

using godwit::base::WallNow;
using godwit::daemon::CheckCertificate;
using godwit::support::TestCertificate;
using godwit::support::TestDirectory;

TEST_GROUP(CertificateCheck){};

TEST(CertificateCheck, ReportsUnusableCertificates) {
  const TestDirectory directory;
  const struct {
    const char* name;
    int64_t valid_from_s;
    int64_t valid_to_s;
    const char* message;
  } cases[] = {
      {"valid", -60, 3600, nullptr},
      {"expired", -60, -30, "expired on"},
      {"early", 600, 3600, "is not valid before"},
  };
  for (const auto& c : cases) {
    const TestCertificate certificate(directory.path(), c.name, c.valid_from_s,
                                      c.valid_to_s);
    const auto error =
        CheckCertificate(certificate.certificate_file(), WallNow());
    CHECK_EQUAL_TEXT(c.message != nullptr, error.has_value(), c.name);
    if (error) {
      STRCMP_CONTAINS(c.message, error->message().c_str());
      STRCMP_CONTAINS(certificate.certificate_file().c_str(),
                      error->message().c_str());
    }
  }
  CHECK(CheckCertificate(directory.path() + "/none", WallNow()).has_value());
}
