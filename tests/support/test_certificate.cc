#include "support/test_certificate.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <cstdio>
#include <memory>

namespace godwit::support {
namespace {

// X.509 counts versions from zero.
constexpr long kVersion3 = 2;

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;
using File = std::unique_ptr<FILE, decltype(&fclose)>;

Certificate MakeCertificate(const std::string& name,
                            EVP_PKEY* key,
                            int64_t valid_from_s,
                            int64_t valid_to_s) {
  Certificate certificate(X509_new(), &X509_free);
  X509* x509 = certificate.get();
  X509_set_version(x509, kVersion3);
  ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
  X509_gmtime_adj(X509_getm_notBefore(x509), valid_from_s);
  X509_gmtime_adj(X509_getm_notAfter(x509), valid_to_s);
  X509_set_pubkey(x509, key);
  X509_NAME* subject = X509_get_subject_name(x509);
  const auto* text = reinterpret_cast<const unsigned char*>(name.c_str());
  X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, text, -1, -1, 0);
  X509_set_issuer_name(x509, subject);
  X509_sign(x509, key, EVP_sha256());
  return certificate;
}

File OpenForWriting(const std::string& path) {
  return {fopen(path.c_str(), "w"), &fclose};
}

}  // namespace

TestCertificate::TestCertificate(const std::string& directory,
                                 const std::string& name,
                                 int64_t valid_from_s,
                                 int64_t valid_to_s)
    : certificate_file_(directory + "/" + name + ".crt"),
      key_file_(directory + "/" + name + ".key") {
  const Key key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
  const Certificate certificate =
      MakeCertificate(name, key.get(), valid_from_s, valid_to_s);
  PEM_write_X509(OpenForWriting(certificate_file_).get(), certificate.get());
  PEM_write_PrivateKey(OpenForWriting(key_file_).get(), key.get(), nullptr,
                       nullptr, 0, nullptr, nullptr);
}

}  // namespace godwit::support
