#ifndef HTTP_SRC_RESPONSE_WRITER_H_
#define HTTP_SRC_RESPONSE_WRITER_H_

#include <string>

#include "http/headers.h"
#include "http/response.h"

namespace godwit::http {

// Writes the response of an exchange to its connection. Any thread; calls are
// executed in order and do not block.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual void Respond(Response response) = 0;
  virtual void BeginStream(int status, Headers headers) = 0;
  virtual void Write(std::string bytes) = 0;
  virtual void EndStream() = 0;
  virtual void Abort() = 0;
};

}  // namespace godwit::http

#endif  // HTTP_SRC_RESPONSE_WRITER_H_
