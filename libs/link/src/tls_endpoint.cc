#include <openssl/x509_vfy.h>

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/verify_context.hpp>
#include <memory>
#include <string>
#include <utility>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>

#include "websocket_endpoint.h"

namespace godwit::link {
namespace {

namespace ssl = boost::asio::ssl;
using Context = std::shared_ptr<ssl::context>;

base::Error FileError(const std::string& file,
                      const boost::system::error_code& reason) {
  return base::Error(base::ErrorKind::kInvalidArgument,
                     "can't use TLS file " + file + ": " + reason.message(),
                     "give a readable PEM file that fits the other files");
}

// Returns null with `error` set when a file can't be used.
Context LoadContext(const TlsFiles& files, base::Error& error) {
  auto context = std::make_shared<ssl::context>(ssl::context::tls);
  context->set_options(ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                       ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
  boost::system::error_code ec;
  context->use_certificate_chain_file(files.certificate, ec);
  if (ec) {
    error = FileError(files.certificate, ec);
    return nullptr;
  }
  context->use_private_key_file(files.key, ssl::context::pem, ec);
  if (ec) {
    error = FileError(files.key, ec);
    return nullptr;
  }
  context->load_verify_file(files.authority, ec);
  if (ec) {
    error = FileError(files.authority, ec);
    return nullptr;
  }
  context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
  return context;
}

// State shared by the connections of an endpoint.
struct SharedState {
  // Used for new connections; replaced by Reload on any thread.
  Context context;
  // Reason for the last rejected certificate; I/O thread only.
  std::string failure;
};

// Records why a peer's certificate is rejected.
void RecordVerifyFailures(ssl::context& context,
                          const std::weak_ptr<SharedState>& weak) {
  context.set_verify_callback([weak](bool valid, ssl::verify_context& peer) {
    const auto shared = weak.lock();
    if (!valid && shared) {
      const int code = X509_STORE_CTX_get_error(peer.native_handle());
      shared->failure = X509_verify_cert_error_string(code);
    }
    return valid;
  });
}

struct TlsSecurity {
  using ServerConfig = websocketpp::config::asio_tls;
  using ClientConfig = websocketpp::config::asio_tls_client;
  static constexpr char kScheme[] = "wss";

  std::shared_ptr<SharedState> shared;

  template <typename Side>
  void Prepare(Side& side) {
    side.set_tls_init_handler([shared = shared](const auto& /*handle*/) {
      return std::atomic_load(&shared->context);
    });
  }

  bool Reload(const TlsFiles& files, base::Error& error) {
    Context context = LoadContext(files, error);
    if (context == nullptr) {
      return false;
    }
    RecordVerifyFailures(*context, shared);
    std::atomic_store(&shared->context, std::move(context));
    return true;
  }

  std::string TakeFailure() { return std::exchange(shared->failure, {}); }
};

}  // namespace

std::shared_ptr<Endpoint> MakeTlsEndpoint(boost::asio::io_context& io,
                                          size_t max_message_bytes,
                                          const TlsFiles& files,
                                          EndpointSink sink,
                                          base::Error& error) {
  TlsSecurity security{std::make_shared<SharedState>()};
  if (!security.Reload(files, error)) {
    return nullptr;
  }
  return std::make_shared<WebsocketEndpoint<TlsSecurity>>(
      io, max_message_bytes, std::move(security), std::move(sink));
}

}  // namespace godwit::link
