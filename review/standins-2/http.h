#ifndef REVIEW_STANDINS_2_HTTP_H_
#define REVIEW_STANDINS_2_HTTP_H_

#include <cstdint>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "socket.h"

namespace godwit::review {

// An answer as a caller received it.
struct Answer {
  // Zero if no answer began.
  int status = 0;
  std::string head;
  std::string body;
  // The whole body was received.
  bool is_complete = false;
};

// Value of a header in a head; empty if it is missing.
std::string HeaderIn(const std::string& head, const std::string& name);

// Reads one answer. `received` keeps bytes that belong to a later one.
Answer ReadAnswer(const Socket& connection,
                  std::string* received,
                  int timeout_ms);

// Sends a request with a JSON body on a connection of its own.
Answer Post(uint16_t port, const std::string& path, const nlohmann::json& body);
Answer Get(uint16_t port, const std::string& path);

// Number of events in the body of a stream.
int64_t EventsIn(const std::string& body);

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_2_HTTP_H_
