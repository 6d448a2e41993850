#ifndef HTTP_HEADERS_H_
#define HTTP_HEADERS_H_

#include <functional>
#include <map>
#include <string>

namespace godwit::http {

// Header fields by lower-case name. A repeated name keeps its first value.
using Headers = std::map<std::string, std::string, std::less<>>;

}  // namespace godwit::http

#endif  // HTTP_HEADERS_H_
