#ifndef SUPPORT_STAND_IN_H_
#define SUPPORT_STAND_IN_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "http/response.h"
#include "http/server.h"

namespace godwit::standin {

// Serves HTTP on `ip` until SIGTERM or SIGINT, after printing
// "listening on IP:PORT". Port 0 lets the kernel choose. Returns the exit
// code of the program.
int Serve(const std::string& ip,
          int32_t port,
          const std::function<http::Server::Handler(runtime::Runtime&)>&
              make_handler);

http::Response JsonResponse(int status, const nlohmann::json& body);

// The JSON object in `text`; an empty object when it is anything else.
nlohmann::json ParseObject(const std::string& text);

// Member `name` of `object` if it has the type of `current`, else `current`.
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
