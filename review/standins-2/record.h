#ifndef REVIEW_STANDINS_2_RECORD_H_
#define REVIEW_STANDINS_2_RECORD_H_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>

namespace godwit::review {

// What callers sent and got, and what backend servers ran. Each entry is also a
// line of a file.
class Record {
 public:
  struct Request {
    std::string tenant;
    int64_t input_tokens = 0;
    int64_t max_output_tokens = 0;
    int64_t sent_at_ms = 0;
    // Zero until it is answered; negative if its connection ended first.
    int status = 0;
    // Tokens of the events that the caller received.
    int64_t delivered_tokens = 0;
    int64_t runs = 0;
  };

  explicit Record(const std::string& file);

  // Milliseconds since the start.
  int64_t now_ms() const;
  void Note(const std::string& line);
  void OnSent(const std::string& id, const Request& request);
  // Called when a backend server begins to work on a request.
  void OnRun(const std::string& id, const std::string& server);
  void OnAnswered(const std::string& id, int status, int64_t delivered_tokens);

  // Upper bound of what the requests of a tenant that ran have used.
  int64_t MaxUsed(const std::string& tenant) const;
  // Input of the requests that ran, and output that callers received.
  int64_t Used(const std::string& tenant) const;
  std::map<std::string, Request> requests() const;

 private:
  void Write(const std::string& line);

  const std::chrono::steady_clock::time_point start_;
  mutable std::mutex mutex_;
  std::ofstream file_;
  std::map<std::string, Request> requests_;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_2_RECORD_H_
