#include "store.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "clock.h"
#include "connection.h"
#include "tcp_server.h"

namespace godwit::review {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int64_t kPollMs = 20;
constexpr int64_t kMaxWatchMs = 30'000;
constexpr size_t kPageItems = 500;
constexpr int kHexRadix = 16;
constexpr std::string_view kBase64 =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& bytes) {
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    const size_t size = std::min<size_t>(3, bytes.size() - i);
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (j < size ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += j <= size ? kBase64[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, kHexRadix));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string pair =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      query[pair.substr(0, equals)] = Unescape(pair.substr(equals + 1));
    }
    at = end;
  }
  return query;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

// What follows the last slash of a path.
int64_t IdIn(const std::string& path) {
  return std::atoll(path.c_str() + path.rfind('/') + 1);
}

}  // namespace

Store::Store(size_t machines) {
  for (size_t i = 0; i < machines; ++i) {
    servers_.push_back(std::make_unique<TcpServer>(
        [this, i](Connection& connection) { Serve(i, connection); }));
  }
}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (auto& server : servers_) {
    server->Stop();
  }
}

uint16_t Store::PortOf(size_t machine) const {
  return servers_[machine]->port();
}

void Store::Put(const std::string& key, const json& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  Set(key, ToBase64(value.dump()), 0);
}

void Store::TurnAway(size_t machine, bool is_turned_away) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_turned_away) {
    turned_away_.insert(machine);
  } else {
    turned_away_.erase(machine);
  }
}

void Store::Serve(size_t machine, Connection& connection) {
  for (;;) {
    std::optional<Message> request = connection.Read(kPollMs);
    std::unique_lock<std::mutex> lock(mutex_);
    if (stopping_) {
      return;
    }
    if (!request) {
      lock.unlock();
      if (connection.IsClosedByPeer(0)) {
        return;
      }
      continue;
    }
    const bool was_turned_away = turned_away_.count(machine) > 0;
    Answer answer;
    if (!was_turned_away) {
      answer = Handle(*request, lock);
    }
    if (was_turned_away || turned_away_.count(machine) > 0) {
      // The answer is lost, and the connection returns nothing further.
      lock.unlock();
      while (!connection.IsClosedByPeer(kPollMs)) {
        const std::lock_guard<std::mutex> again(mutex_);
        if (stopping_) {
          return;
        }
      }
      return;
    }
    lock.unlock();
    const std::string body = answer.body.dump();
    if (!connection.Send("HTTP/1.1 " + std::to_string(answer.status) +
                         " Answer\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

Store::Answer Store::Handle(const Message& request,
                            std::unique_lock<std::mutex>& lock) {
  ExpireLeases();
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  auto query = ParseQuery(target);
  const json body = json::parse(request.body, nullptr, false);
  if (path == "/api/kv-key") {
    const auto found = items_.find(query["key"]);
    if (found == items_.end()) {
      return {kNotFound, {{"currentRev", revision_}}};
    }
    json item = ToJson(found->first, found->second);
    item["currentRev"] = revision_;
    return {kOk, item};
  }
  if (path == "/api/kv-range") {
    json items = json::array();
    bool truncated = false;
    for (const auto& [key, item] : items_) {
      if (!StartsWith(key, query["prefix"]) || key <= query["startAfter"]) {
        continue;
      }
      if (items.size() == kPageItems) {
        truncated = true;
        break;
      }
      items.push_back(ToJson(key, item));
    }
    return {kOk,
            {{"items", items},
             {"truncated", truncated},
             {"currentRev", revision_}}};
  }
  if (path == "/api/kv-watch") {
    return Watch(query, lock);
  }
  if (path == "/api/kv-txn") {
    return Transact(body);
  }
  if (path == "/api/kv-lease") {
    const int64_t ttl_ms = body.value("ttlMs", int64_t{1000});
    const int64_t lease = next_lease_++;
    leases_[lease] = {ttl_ms, NowMs() + ttl_ms};
    return {kOk, {{"lease", lease}, {"ttlMs", ttl_ms}}};
  }
  const auto lease = leases_.find(IdIn(path));
  if (lease == leases_.end()) {
    return {kNotFound, json::object()};
  }
  if (StartsWith(path, "/api/kv-keep/")) {
    lease->second.ends_at = NowMs() + lease->second.ttl_ms;
  } else {
    lease->second.ends_at = 0;
    ExpireLeases();
  }
  return {kOk, json::object()};
}

Store::Answer Store::Watch(const std::map<std::string, std::string>& query,
                           std::unique_lock<std::mutex>& lock) {
  const std::string prefix = query.at("prefix");
  const int64_t after = std::atoll(query.at("startAfter").c_str());
  const int64_t wait =
      std::min<int64_t>(kMaxWatchMs, std::atoll(query.at("waitMs").c_str()));
  const int64_t end = NowMs() + wait;
  for (;;) {
    ExpireLeases();
    json events = json::array();
    for (const Change& change : history_) {
      if (change.revision <= after || !StartsWith(change.key, prefix)) {
        continue;
      }
      events.push_back(change.item ? ToJson(change.key, *change.item)
                                   : json{{"key", change.key},
                                          {"revision", change.revision},
                                          {"removed", true}});
    }
    if (!events.empty() || NowMs() >= end || stopping_) {
      return {kOk, {{"events", events}, {"currentRev", revision_}}};
    }
    changed_.wait_for(lock, std::chrono::milliseconds(kPollMs));
  }
}

Store::Answer Store::Transact(const json& body) {
  json current = json::array();
  bool holds = true;
  for (const json& row : body.at("expectedRev")) {
    const auto key = row.at("key").get<std::string>();
    const auto found = items_.find(key);
    const int64_t revision = found == items_.end() ? 0 : found->second.revision;
    holds = holds && revision == row.at("revision").get<int64_t>();
    if (found != items_.end()) {
      current.push_back(ToJson(key, found->second));
    }
  }
  if (!holds) {
    return {kPreconditionFailed, {{"items", current}}};
  }
  for (const json& row : body.at("writes")) {
    const int64_t lease = row.value("lease", int64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) {
      return {kNotFound, json::object()};
    }
  }
  ++revision_;
  for (const json& row : body.at("writes")) {
    Set(row.at("key"), row.at("value"), row.value("lease", int64_t{0}));
  }
  for (const json& key : body.at("remove")) {
    Remove(key);
  }
  return {kOk, {{"revision", revision_}}};
}

json Store::ToJson(const std::string& key, const Item& item) const {
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"createdRev", item.created},
          {"lease", item.lease}};
}

void Store::Set(const std::string& key,
                const std::string& value,
                int64_t lease) {
  Item& item = items_[key];
  item.created = item.created == 0 ? revision_ : item.created;
  item.value = value;
  item.revision = revision_;
  item.lease = lease;
  history_.push_back({key, revision_, item});
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back({key, revision_, std::nullopt});
    changed_.notify_all();
  }
}

void Store::ExpireLeases() {
  const int64_t now = NowMs();
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (now < lease->second.ends_at) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease->first) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      ++revision_;
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
    lease = leases_.erase(lease);
  }
}

}  // namespace godwit::review
