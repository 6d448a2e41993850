#ifndef REVIEW_STANDINS_2_FLEET_H_
#define REVIEW_STANDINS_2_FLEET_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "engine.h"
#include "process.h"
#include "record.h"

namespace godwit::review {

// The store's stand-in, routers as processes, and model engines. Plays the
// operator and the engines' check-ins at the store.
class Fleet {
 public:
  struct Options {
    // The program of the deploy file, and the store's stand-in.
    std::string router_program;
    std::string store_program;
    // Of settings and logs.
    std::string directory;
    std::vector<std::string> tenants;
    int64_t prepaid = 0;
  };

  Fleet(Options options, Record& record);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Waits until all routers are ready. Returns false if they are not in time.
  bool AwaitReady();
  uint16_t callers_port(size_t router) const { return ports_[router].callers; }
  Process& router(size_t index) { return *routers_[index]; }
  // Starts a router whose process has ended.
  void StartRouter(size_t index);
  // The platform stops a router and starts it again.
  void RestartInOrder(size_t index);
  // The store answers nothing but 503.
  void SetStoreAway(bool is_away);
  // The store returns from a copy of its items; the operator and the engines
  // write theirs again.
  void ReturnStoreFromCopy(int64_t age_ms);

  // Writes an item to the store as the operator, an engine or another writer.
  void PutItem(const std::string& key, const nlohmann::json& value) const;

  static std::string KeyOf(const std::string& tenant);

 private:
  struct Ports {
    uint16_t callers = 0;
    uint16_t readiness = 0;
    uint16_t control = 0;
    uint16_t routers = 0;
  };

  void PutConfiguration();
  void CheckIn();
  std::string Settings(size_t index) const;

  const Options options_;
  Record& record_;
  uint16_t store_port_ = 0;
  std::unique_ptr<Process> store_;
  std::list<Engine> engines_;
  std::vector<Ports> ports_;
  std::vector<std::unique_ptr<Process>> routers_;
  int64_t version_ = 0;
  std::atomic<bool> is_stopping_{false};
  std::thread check_ins_;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_2_FLEET_H_
