#ifndef HTTP_STATUS_OF_H_
#define HTTP_STATUS_OF_H_

#include "base/error_kind.h"

namespace godwit::http {

// HTTP status of an error of that kind.
int StatusOf(base::ErrorKind kind);

}  // namespace godwit::http

#endif  // HTTP_STATUS_OF_H_
