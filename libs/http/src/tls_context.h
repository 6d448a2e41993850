#ifndef HTTP_SRC_TLS_CONTEXT_H_
#define HTTP_SRC_TLS_CONTEXT_H_

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string>

#include "base/error.h"

namespace godwit::http {

// Certificate and key that new connections are served with.
class TlsContext {
 public:
  // Reads PEM files. Null when they can't be used, see `reason`.
  static std::shared_ptr<TlsContext> Load(const std::string& certificate_file,
                                          const std::string& key_file,
                                          base::Error* reason);

  boost::asio::ssl::context& context() noexcept { return context_; }

 private:
  TlsContext();

  boost::asio::ssl::context context_;
};

}  // namespace godwit::http

#endif  // HTTP_SRC_TLS_CONTEXT_H_
