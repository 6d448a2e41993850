#include "record.h"

namespace godwit::review {

Record::Record(const std::string& file)
    : start_(std::chrono::steady_clock::now()), file_(file) {}

int64_t Record::now_ms() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start_)
      .count();
}

void Record::Write(const std::string& line) {
  file_ << now_ms() << " " << line << std::endl;
}

void Record::Note(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Write(line);
}

void Record::OnSent(const std::string& id, const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  requests_[id] = request;
  requests_[id].sent_at_ms = now_ms();
  Write("sent " + id + " tenant " + request.tenant + " tokens " +
        std::to_string(request.input_tokens) + "," +
        std::to_string(request.max_output_tokens));
}

void Record::OnRun(const std::string& id, const std::string& server) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++requests_[id].runs;
  Write("run " + id + " at " + server);
}

void Record::OnAnswered(const std::string& id,
                        int status,
                        int64_t delivered_tokens) {
  const std::lock_guard<std::mutex> lock(mutex_);
  requests_[id].status = status;
  requests_[id].delivered_tokens = delivered_tokens;
  Write("answered " + id + " status " + std::to_string(status) + " delivered " +
        std::to_string(delivered_tokens));
}

int64_t Record::MaxUsed(const std::string& tenant) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  int64_t used = 0;
  for (const auto& [id, request] : requests_) {
    if (request.tenant == tenant && request.runs > 0) {
      used += request.input_tokens + request.max_output_tokens;
    }
  }
  return used;
}

int64_t Record::Used(const std::string& tenant) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  int64_t used = 0;
  for (const auto& [id, request] : requests_) {
    if (request.tenant == tenant && request.runs > 0) {
      used += request.input_tokens + request.delivered_tokens;
    }
  }
  return used;
}

std::map<std::string, Record::Request> Record::requests() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return requests_;
}

}  // namespace godwit::review
