#ifndef REVIEW_STANDINS_3_STORE_H_
#define REVIEW_STANDINS_3_STORE_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

// The platform's metadata store, by the page PROTOCOL.md.
class Store {
 public:
  Store();
  ~Store();

  uint16_t port() const { return server_.port(); }
  // Writes a key as the operator or an engine does; returns when it is
  // acknowledged.
  void Put(const std::string& key, const nlohmann::json& value);
  void Remove(const std::string& key);
  // From now on, answers state the era of the store.
  void StateEra() { era_ = 1; }
  // Keeps a copy of what is stored.
  void Copy();
  // While it is away, channels are closed without an answer.
  void SetAway(bool is_away) { is_away_ = is_away; }
  // Comes back from the copy. What the operator and the engines wrote is
  // written again; leases and what the system wrote since are gone.
  void ReturnFromCopy();

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Event {
    std::string key;
    int64_t revision = 0;
    bool removed = false;
    Item item;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t ends_at = 0;
  };

  bool Handle(Connection& connection, const Message& request);
  std::pair<int, nlohmann::json> Answer(const Message& request);
  std::pair<int, nlohmann::json> Read(const std::string& key);
  std::pair<int, nlohmann::json> List(const std::string& prefix,
                                      const std::string& after);
  std::pair<int, nlohmann::json> Watch(const std::string& prefix,
                                       int64_t after,
                                       int64_t wait_ms);
  std::pair<int, nlohmann::json> Write(const nlohmann::json& body);
  void Set(const std::string& key, const std::string& value, int64_t lease);
  void Erase(const std::string& key);
  void ExpireLeases();
  static nlohmann::json ToJson(const std::string& key, const Item& item);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 1;
  int64_t next_lease_ = 1;
  std::map<std::string, Item> copied_items_;
  int64_t copied_revision_ = 0;
  std::atomic<int64_t> era_{0};
  std::atomic<bool> is_away_{false};
  std::atomic<bool> stops_{false};
  HttpServer server_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_STORE_H_
