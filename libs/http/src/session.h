#ifndef HTTP_SRC_SESSION_H_
#define HTTP_SRC_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "base/millis.h"
#include "response_writer.h"

namespace godwit::http {

class TlsContext;
struct SessionContext;

// One accepted connection. I/O thread, except the calls of ResponseWriter.
class Session : public ResponseWriter {
 public:
  virtual void Start() = 0;
  // Closes the connection if no request is being read or answered.
  virtual void CloseIfIdle() = 0;
  virtual void Close() = 0;
  // True if the caller has taken no byte of its answer for some seconds.
  virtual bool IsUnread(base::Millis now) const = 0;

  // Serves TLS if `tls` is set.
  static std::shared_ptr<Session> Make(boost::asio::ip::tcp::socket socket,
                                       std::shared_ptr<SessionContext> context,
                                       std::shared_ptr<TlsContext> tls);
};

}  // namespace godwit::http

#endif  // HTTP_SRC_SESSION_H_
