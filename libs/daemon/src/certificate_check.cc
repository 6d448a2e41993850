#include "daemon/certificate_check.h"

#include <openssl/bio.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <ctime>
#include <memory>

namespace godwit::daemon {
namespace {

using base::Error;
using base::ErrorKind;
using Bio = std::unique_ptr<BIO, decltype(&BIO_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;

constexpr int64_t kMillisInSecond = 1000;

Certificate ReadCertificate(const std::string& file) {
  const Bio input(BIO_new_file(file.c_str(), "r"), &BIO_free);
  X509* certificate = input == nullptr ? nullptr
                                       : PEM_read_bio_X509(input.get(), nullptr,
                                                           nullptr, nullptr);
  return {certificate, &X509_free};
}

// Formats a time such as "Dec  3 20:36:00 2026 GMT".
std::string TimeText(const ASN1_TIME* time) {
  const Bio output(BIO_new(BIO_s_mem()), &BIO_free);
  ASN1_TIME_print(output.get(), time);
  char* bytes = nullptr;
  const long size = BIO_get_mem_data(output.get(), &bytes);
  return std::string(bytes, static_cast<size_t>(size));
}

}  // namespace

std::optional<base::Error> CheckCertificate(const std::string& file,
                                            base::Millis wall) {
  const Certificate certificate = ReadCertificate(file);
  if (certificate == nullptr) {
    return Error(ErrorKind::kInvalidArgument,
                 "the certificate " + file + " can't be read",
                 "give a readable PEM file");
  }
  std::time_t now = wall.count() / kMillisInSecond;
  const ASN1_TIME* begin = X509_get0_notBefore(certificate.get());
  const ASN1_TIME* end = X509_get0_notAfter(certificate.get());
  if (X509_cmp_time(end, &now) < 0) {
    return Error(ErrorKind::kInvalidArgument,
                 "the certificate " + file + " expired on " + TimeText(end),
                 "put a renewed certificate and its key in place, then start "
                 "the process or send it SIGHUP");
  }
  if (X509_cmp_time(begin, &now) > 0) {
    return Error(
        ErrorKind::kInvalidArgument,
        "the certificate " + file + " is not valid before " + TimeText(begin),
        "check the clock of this machine, or wait");
  }
  return std::nullopt;
}

}  // namespace godwit::daemon
