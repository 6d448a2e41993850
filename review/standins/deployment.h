#ifndef REVIEW_STANDINS_DEPLOYMENT_H_
#define REVIEW_STANDINS_DEPLOYMENT_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "router.h"
#include "store.h"

namespace godwit::review {

class Trial;

// The store and the routers of a small deployment, one router a zone.
class Deployment {
 public:
  Deployment(Trial& trial, size_t routers);

  // The entry of a server that is ready.
  static nlohmann::json Registration(const std::string& service,
                                     const std::string& zone,
                                     uint16_t port,
                                     int64_t slots);
  static std::string ZoneOf(size_t number);
  // The limits of a configuration.
  static nlohmann::json Limits();

  // Writes a key of the operator or of a server.
  void Put(const std::string& key, const nlohmann::json& value);
  // Starts the routers. Returns false unless all of them become ready.
  bool Start();

  Store& store() noexcept { return store_; }
  const std::vector<std::unique_ptr<Router>>& routers() const noexcept {
    return routers_;
  }

 private:
  Trial& trial_;
  Store store_;
  std::vector<std::unique_ptr<Router>> routers_;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_DEPLOYMENT_H_
