#ifndef HTTP_SRC_TLS_CONTEXT_H_
#define HTTP_SRC_TLS_CONTEXT_H_

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string>

#include "base/error.h"

namespace godwit::http {

// TLS server context with the certificate and key for new connections.
class TlsContext {
 public:
  // Reads PEM files. Returns null with `error` set when they can't be used.
  static std::shared_ptr<TlsContext> Load(const std::string& certificate_file,
                                          const std::string& key_file,
                                          base::Error* error);

  boost::asio::ssl::context& context() noexcept { return context_; }

 private:
  TlsContext();

  boost::asio::ssl::context context_;
};

}  // namespace godwit::http

#endif  // HTTP_SRC_TLS_CONTEXT_H_
