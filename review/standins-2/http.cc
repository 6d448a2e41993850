#include "http.h"

#include <strings.h>

#include <cstdlib>

#include <nlohmann/json.hpp>

namespace godwit::review {
namespace {

constexpr int kCallTimeoutMs = 3000;
constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr size_t kHeadEndBytes = 4;
constexpr int kHex = 16;
constexpr int kDecimal = 10;

// Removes the chunks that `received` holds in full and appends them to `body`.
// Returns true after the last one.
bool TakeChunks(std::string* received, std::string* body) {
  while (true) {
    const size_t line = received->find("\r\n");
    if (line == std::string::npos) {
      return false;
    }
    const size_t size = std::strtoul(received->c_str(), nullptr, kHex);
    if (received->size() < line + size + kHeadEndBytes) {
      return false;
    }
    body->append(*received, line + 2, size);
    received->erase(0, line + size + kHeadEndBytes);
    if (size == 0) {
      return true;
    }
  }
}

Answer Call(uint16_t port, const std::string& request) {
  const Socket connection = Socket::Connect(port);
  if (!connection.is_open() || !connection.Send(request)) {
    return {};
  }
  std::string received;
  return ReadAnswer(connection, &received, kCallTimeoutMs);
}

}  // namespace

std::string HeaderIn(const std::string& head, const std::string& name) {
  size_t at = 0;
  while ((at = head.find("\r\n", at)) != std::string::npos) {
    at += 2;
    if (strncasecmp(head.c_str() + at, name.c_str(), name.size()) == 0 &&
        head.compare(at + name.size(), 2, ": ") == 0) {
      const size_t value = at + name.size() + 2;
      return head.substr(value, head.find("\r\n", value) - value);
    }
  }
  return "";
}

Answer ReadAnswer(const Socket& connection,
                  std::string* received,
                  int timeout_ms) {
  Answer answer;
  size_t end = 0;
  while ((end = received->find(kHeadEnd)) == std::string::npos) {
    if (!connection.Receive(received, timeout_ms)) {
      return answer;
    }
  }
  answer.head = received->substr(0, end + kHeadEndBytes);
  received->erase(0, end + kHeadEndBytes);
  answer.status = std::atoi(answer.head.c_str() + sizeof("HTTP/1.1"));
  const bool is_chunked =
      HeaderIn(answer.head, "Transfer-Encoding") == "chunked";
  const size_t length = std::strtoul(
      HeaderIn(answer.head, "Content-Length").c_str(), nullptr, kDecimal);
  while (true) {
    if (is_chunked) {
      answer.is_complete = TakeChunks(received, &answer.body);
    } else if (received->size() >= length) {
      answer.body = received->substr(0, length);
      received->erase(0, length);
      answer.is_complete = true;
    }
    if (answer.is_complete || !connection.Receive(received, timeout_ms)) {
      return answer;
    }
  }
}

Answer Post(uint16_t port,
            const std::string& path,
            const nlohmann::json& body) {
  const std::string text = body.dump();
  return Call(port, "POST " + path +
                        " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                        "Content-Type: application/json\r\nContent-Length: " +
                        std::to_string(text.size()) + kHeadEnd + text);
}

Answer Get(uint16_t port, const std::string& path) {
  return Call(port, "GET " + path +
                        " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
}

int64_t EventsIn(const std::string& body) {
  int64_t events = 0;
  for (size_t at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2)) {
    ++events;
  }
  return events;
}

}  // namespace godwit::review
