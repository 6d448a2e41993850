#ifndef REVIEW_STANDINS_STORE_H_
#define REVIEW_STANDINS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwit::review {

class Connection;
class TcpServer;
struct Message;

// The platform's metadata store as PROTOCOL.md describes it: items, pages,
// watches, transactions and leases. Each machine reaches it at a port of its
// own, so that single machines can be turned away.
class Store {
 public:
  explicit Store(size_t machines);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  uint16_t PortOf(size_t machine) const;
  // Writes as the operator or a server. Returns once it is acknowledged.
  void Put(const std::string& key, const nlohmann::json& value);
  // While a machine is turned away, its calls get no answer, and a connection
  // on which an answer was due carries nothing further.
  void TurnAway(size_t machine, bool is_turned_away);

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Change {
    std::string key;
    int64_t revision = 0;
    std::optional<Item> item;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t ends_at = 0;
  };
  struct Answer {
    int status = 0;
    nlohmann::json body;
  };

  void Serve(size_t machine, Connection& connection);
  Answer Handle(const Message& request, std::unique_lock<std::mutex>& lock);
  Answer Watch(const std::map<std::string, std::string>& query,
               std::unique_lock<std::mutex>& lock);
  Answer Transact(const nlohmann::json& body);
  nlohmann::json ToJson(const std::string& key, const Item& item) const;
  void Set(const std::string& key, const std::string& value, int64_t lease);
  void Remove(const std::string& key);
  void ExpireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Change> history_;
  std::map<int64_t, Lease> leases_;
  std::set<size_t> turned_away_;
  int64_t revision_ = 1;
  int64_t next_lease_ = 1;
  bool stopping_ = false;
  std::vector<std::unique_ptr<TcpServer>> servers_;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_STORE_H_
