#ifndef HTTP_STATUS_OF_H_
#define HTTP_STATUS_OF_H_

#include "base/error_kind.h"

namespace godwit::http {

// HTTP status for errors of this kind.
int StatusOf(base::ErrorKind kind);

}  // namespace godwit::http

#endif  // HTTP_STATUS_OF_H_
