#ifndef SUPPORT_STAND_IN_H_
#define SUPPORT_STAND_IN_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "http/response.h"
#include "http/server.h"

namespace godwit::standin {

// Prints "listening on IP:PORT", then serves HTTP on `ip` until SIGTERM or
// SIGINT. Port 0 lets the kernel choose. Returns the exit code of the program.
int Serve(const std::string& ip,
          int32_t port,
          const std::function<http::Server::Handler(runtime::Runtime&)>&
              make_handler);

http::Response JsonResponse(int status, const nlohmann::json& body);

// Parses a JSON object. Returns an empty object if `text` is not one.
nlohmann::json ParseObject(const std::string& text);

// Member `name` of `object` if it has the type of `fallback`, else `fallback`.
// All numbers count as one type.
template <typename Value>
Value MemberOr(const nlohmann::json& object,
               const char* name,
               const Value& fallback) {
  const auto member = object.find(name);
  const nlohmann::json sample = fallback;
  const bool same_type =
      member != object.end() && (member->type() == sample.type() ||
                                 (member->is_number() && sample.is_number()));
  return same_type ? member->get<Value>() : fallback;
}

}  // namespace godwit::standin

#endif  // SUPPORT_STAND_IN_H_
