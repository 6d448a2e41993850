#include "fleet_commands.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "membership/fleet_codec.h"
#include "membership/fleet_record.h"
#include "platform/client.h"
#include "session.h"

namespace godwit::ctl {
namespace {

using membership::AgentState;
using membership::FleetAgent;
using nlohmann::ordered_json;

constexpr char kRouterLeases[] = "routers/";
constexpr char kAgentLeases[] = "agents/";

const char* StateName(AgentState state) {
  switch (state) {
    case AgentState::kActive:
      return "active";
    case AgentState::kLeaving:
      return "leaving";
    case AgentState::kRemoved:
      return "gone";
  }
  return "unknown";
}

bool Contains(const std::vector<std::string>& keys, const std::string& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

Result FleetStatus(Session& session,
                   const std::vector<std::string>& /*arguments*/) {
  const auto done = session.client->Read(membership::kFleetKey);
  const auto routers = session.client->ListKeys(kRouterLeases);
  const auto agents = session.client->ListKeys(kAgentLeases);
  if (!done.available || !routers || !agents) {
    return KvUnavailable();
  }
  membership::FleetCodec codec;
  const auto record = codec.Decode(done.value);
  if (!record) {
    return Refused(codec.last_error());
  }
  ordered_json json;
  json["version"] = done.version.revision;
  json["agents"] = ordered_json::array();
  json["routers"] = ordered_json::array();
  std::string text =
      "fleet version " + std::to_string(done.version.revision) + "\n";
  for (const FleetAgent& agent : record->agents()) {
    const bool leased =
        Contains(*agents, kAgentLeases + agent.incarnation.value());
    const std::string address = agent.ip + ":" + std::to_string(agent.port);
    json["agents"].push_back({{"process", agent.process.value()},
                              {"incarnation", agent.incarnation.value()},
                              {"address", address},
                              {"data_centre", agent.data_centre.value()},
                              {"state", StateName(agent.state)},
                              {"lease", leased}});
    text += "agent " + agent.process.value() + "  " + address + "  " +
            agent.data_centre.value() + "  " + StateName(agent.state) +
            (leased ? "" : "  no lease") + "\n";
  }
  for (const std::string& key : *routers) {
    const std::string incarnation = key.substr(sizeof(kRouterLeases) - 1);
    json["routers"].push_back(incarnation);
    text += "router life " + incarnation + "\n";
  }
  return {text, json.dump(2), {}, 0};
}

}  // namespace godwit::ctl
