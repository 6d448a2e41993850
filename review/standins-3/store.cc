#include "store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>
#include <vector>

namespace review {
namespace {

using nlohmann::json;

constexpr size_t kPageSize = 500;
constexpr size_t kHistory = 20'000;
constexpr int64_t kAnswerMs = 4;
constexpr char kAlphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& bytes) {
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    const size_t count = std::min<size_t>(3, bytes.size() - i);
    for (size_t j = 0; j < 3; ++j) {
      const auto byte = static_cast<uint8_t>(j < count ? bytes[i + j] : 0);
      group = group << 8U | byte;
    }
    for (size_t j = 0; j < 4; ++j) {
      text.push_back(j <= count ? kAlphabet[group >> (18 - 6 * j) & 63U] : '=');
    }
  }
  return text;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string Decode(const std::string& text) {
  std::string bytes;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      bytes.push_back(static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      bytes.push_back(text[i]);
    }
  }
  return bytes;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t next = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, next - at - 1);
    const size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      query[pair.substr(0, equals)] = Decode(pair.substr(equals + 1));
    }
    at = next;
  }
  return query;
}

int64_t ToNumber(const std::string& text) {
  return std::strtoll(text.c_str(), nullptr, 10);
}

}  // namespace

Store::Store()
    : server_([this](Connection& connection, const Message& request) {
        return Handle(connection, request);
      }) {}

Store::~Store() {
  stops_ = true;
  changed_.notify_all();
}

void Store::Put(const std::string& key, const json& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Set(key, ToBase64(value.dump()), 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Erase(key);
}

void Store::Copy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copied_items_ = items_;
  copied_revision_ = revision_;
}

void Store::ReturnFromCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::map<std::string, Item> before = std::move(items_);
  items_ = copied_items_;
  revision_ = copied_revision_;
  history_.clear();
  leases_.clear();
  for (auto item = items_.begin(); item != items_.end();) {
    item = item->second.lease != 0 ? items_.erase(item) : std::next(item);
  }
  ++era_;
  for (const auto& [key, item] : before) {
    if (StartsWith(key, "op/") || StartsWith(key, "servers/")) {
      Set(key, item.value, 0);
    }
  }
  changed_.notify_all();
}

bool Store::Handle(Connection& connection, const Message& request) {
  SleepMs(kAnswerMs);
  if (is_away_) {
    return false;
  }
  const int64_t era = era_;
  const auto [status, body] = Answer(request);
  if (is_away_ || era != era_) {
    return false;
  }
  std::vector<std::pair<std::string, std::string>> headers = {
      {"Content-Type", "application/json"}};
  if (era > 0) {
    headers.emplace_back("Store-Era", std::to_string(era));
  }
  return connection.Write(Response(status, headers, body.dump()));
}

std::pair<int, json> Store::Answer(const Message& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  auto query = QueryOf(request.target);
  if (path == "/api/kv-watch") {
    return Watch(query["prefix"], ToNumber(query["startAfter"]),
                 ToNumber(query["waitMs"]));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  ExpireLeases();
  if (path == "/api/kv-key") {
    return Read(query["key"]);
  }
  if (path == "/api/kv-range") {
    return List(query["prefix"], query["startAfter"]);
  }
  const json body = json::parse(request.body, nullptr, false);
  if (path == "/api/kv-txn") {
    return Write(body);
  }
  if (path == "/api/kv-lease") {
    const int64_t ttl = std::max<int64_t>(1000, body.value("ttlMs", 1000));
    const int64_t lease = next_lease_++;
    leases_[lease] = {ttl, NowMs() + ttl};
    return {200, {{"lease", lease}, {"ttlMs", ttl}}};
  }
  const int64_t lease = ToNumber(path.substr(path.rfind('/') + 1));
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return {404, json::object()};
  }
  if (StartsWith(path, "/api/kv-keep/")) {
    found->second.ends_at = NowMs() + found->second.ttl_ms;
    return {200, {{"ttlMs", found->second.ttl_ms}}};
  }
  found->second.ends_at = 0;
  ExpireLeases();
  return {200, json::object()};
}

json Store::ToJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"createdRev", item.created},
          {"lease", item.lease}};
}

std::pair<int, json> Store::Read(const std::string& key) {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return {404, {{"currentRev", revision_}}};
  }
  json item = ToJson(key, found->second);
  item["currentRev"] = revision_;
  return {200, item};
}

std::pair<int, json> Store::List(const std::string& prefix,
                                 const std::string& after) {
  json items = json::array();
  bool truncated = false;
  for (auto entry = items_.lower_bound(prefix);
       entry != items_.end() && StartsWith(entry->first, prefix); ++entry) {
    if (entry->first <= after) {
      continue;
    }
    if (items.size() == kPageSize) {
      truncated = true;
      break;
    }
    items.push_back(ToJson(entry->first, entry->second));
  }
  return {200,
          {{"items", std::move(items)},
           {"truncated", truncated},
           {"currentRev", revision_}}};
}

std::pair<int, json> Store::Watch(const std::string& prefix,
                                  int64_t after,
                                  int64_t wait_ms) {
  const int64_t ends_at = NowMs() + wait_ms;
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ExpireLeases();
    const bool is_forgotten = !history_.empty() &&
                              history_.size() == kHistory &&
                              after + 1 < history_.front().revision;
    if (is_forgotten || after > revision_) {
      return {410, json::object()};
    }
    json events = json::array();
    for (const Event& event : history_) {
      if (event.revision <= after || !StartsWith(event.key, prefix)) {
        continue;
      }
      events.push_back(event.removed ? json{{"key", event.key},
                                            {"revision", event.revision},
                                            {"removed", true}}
                                     : ToJson(event.key, event.item));
    }
    if (!events.empty() || NowMs() >= ends_at || stops_) {
      return {200, {{"events", std::move(events)}, {"currentRev", revision_}}};
    }
    changed_.wait_for(lock, std::chrono::milliseconds(
                                std::clamp<int64_t>(ends_at - NowMs(), 1, 50)));
  }
}

std::pair<int, json> Store::Write(const json& body) {
  json current = json::array();
  bool holds = true;
  for (const json& row : body.value("expectedRev", json::array())) {
    const auto key = row.value("key", std::string());
    const auto found = items_.find(key);
    const int64_t revision = found == items_.end() ? 0 : found->second.revision;
    holds = holds && revision == row.value("revision", int64_t{0});
    if (found != items_.end()) {
      current.push_back(ToJson(key, found->second));
    } else {
      current.push_back({{"key", key}, {"revision", 0}});
    }
  }
  if (!holds) {
    return {412, {{"items", std::move(current)}}};
  }
  for (const json& row : body.value("writes", json::array())) {
    const int64_t lease = row.value("lease", int64_t{0});
    const auto key = row.value("key", std::string());
    if (StartsWith(key, "op/") || StartsWith(key, "servers/")) {
      return {403, json::object()};
    }
    if (lease != 0 && leases_.count(lease) == 0) {
      return {404, json::object()};
    }
  }
  for (const json& row : body.value("writes", json::array())) {
    Set(row.value("key", std::string()), row.value("value", std::string()),
        row.value("lease", int64_t{0}));
  }
  for (const json& key : body.value("remove", json::array())) {
    Erase(key.get<std::string>());
  }
  return {200, {{"revision", revision_}}};
}

void Store::Set(const std::string& key,
                const std::string& value,
                int64_t lease) {
  Item& item = items_[key];
  item.revision = ++revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  item.value = value;
  item.lease = lease;
  history_.push_back({key, revision_, false, item});
  if (history_.size() > kHistory) {
    history_.pop_front();
  }
  changed_.notify_all();
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back({key, ++revision_, true, {}});
    changed_.notify_all();
  }
}

void Store::ExpireLeases() {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (NowMs() < lease->second.ends_at) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease->first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Erase(key);
    }
    lease = leases_.erase(lease);
  }
}

}  // namespace review
