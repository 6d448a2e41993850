#include "tls_context.h"

namespace godwit::http {
namespace {

base::Error LoadError(const std::string& what,
                      const std::string& file,
                      const boost::system::error_code& ec) {
  return {base::ErrorKind::kInvalidArgument,
          "the " + what + " " + file + " can't be used: " + ec.message(),
          "give a readable PEM file whose key belongs to the certificate"};
}

}  // namespace

TlsContext::TlsContext() : context_(boost::asio::ssl::context::tls_server) {
  context_.set_options(boost::asio::ssl::context::default_workarounds |
                       boost::asio::ssl::context::no_sslv2 |
                       boost::asio::ssl::context::no_sslv3 |
                       boost::asio::ssl::context::no_tlsv1 |
                       boost::asio::ssl::context::no_tlsv1_1 |
                       SSL_OP_NO_RENEGOTIATION);
  // An idle connection holds no buffers for records.
  SSL_CTX_set_mode(context_.native_handle(), SSL_MODE_RELEASE_BUFFERS);
}

std::shared_ptr<TlsContext> TlsContext::Load(
    const std::string& certificate_file,
    const std::string& key_file,
    base::Error* error) {
  std::shared_ptr<TlsContext> tls(new TlsContext());
  boost::system::error_code ec;
  tls->context_.use_certificate_chain_file(certificate_file, ec);
  if (ec) {
    *error = LoadError("certificate", certificate_file, ec);
    return nullptr;
  }
  tls->context_.use_private_key_file(key_file, boost::asio::ssl::context::pem,
                                     ec);
  if (ec) {
    *error = LoadError("private key", key_file, ec);
    return nullptr;
  }
  return tls;
}

}  // namespace godwit::http
