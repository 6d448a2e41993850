#include "membership/fleet_codec.h"

#include <limits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "cbor/read.h"

namespace godwit::membership {

namespace {

using Json = nlohmann::json;

constexpr int64_t kFormat = 1;

Json ToJson(const FleetAgent& agent) {
  return Json::array({agent.incarnation.value(), agent.process.value(),
                      agent.ip, agent.port, agent.data_centre.value(),
                      static_cast<int>(agent.state), agent.joined_at.count(),
                      agent.removed_at.count()});
}

constexpr size_t kAgentFields = 8;
constexpr int64_t kMaxTime = std::numeric_limits<int64_t>::max() / 4;

// Reads the fields of an agent in order. `ok` becomes false at the first field
// that is missing, has another type or is out of range.
class Reader {
 public:
  explicit Reader(const Json& fields) : fields_(fields) {
    ok_ = fields.is_array() && fields.size() == kAgentFields;
  }

  std::string Text() {
    std::optional<std::string> text = cbor::Text(Next());
    ok_ = ok_ && text.has_value();
    return text.value_or(std::string());
  }

  int64_t Integer(int64_t low, int64_t high) {
    const std::optional<int64_t> value = cbor::Integer(Next());
    ok_ = ok_ && value && *value >= low && *value <= high;
    return ok_ ? *value : low;
  }

  bool ok() const { return ok_; }

 private:
  const Json* Next() { return ok_ ? &fields_[position_++] : nullptr; }

  const Json& fields_;
  size_t position_ = 0;
  bool ok_ = false;
};

std::optional<FleetAgent> AgentFrom(const Json& fields) {
  Reader reader(fields);
  FleetAgent agent;
  agent.incarnation = base::Incarnation(reader.Text());
  agent.process = base::ProcessId(reader.Text());
  agent.ip = reader.Text();
  agent.port = static_cast<uint16_t>(
      reader.Integer(0, std::numeric_limits<uint16_t>::max()));
  agent.data_centre = base::DataCentreId(reader.Text());
  agent.state = static_cast<AgentState>(
      reader.Integer(0, static_cast<int64_t>(AgentState::kRemoved)));
  agent.joined_at = base::Millis(reader.Integer(0, kMaxTime));
  agent.removed_at = base::Millis(reader.Integer(0, kMaxTime));
  if (!reader.ok() || agent.incarnation.empty() || agent.process.empty()) {
    return std::nullopt;
  }
  return agent;
}

std::optional<FleetRecord> RecordFrom(const Json& document) {
  if (!document.is_array() || document.size() != 2 || document[0] != kFormat ||
      !document[1].is_array()) {
    return std::nullopt;
  }
  std::vector<FleetAgent> agents;
  for (const Json& fields : document[1]) {
    std::optional<FleetAgent> agent = AgentFrom(fields);
    if (!agent) {
      return std::nullopt;
    }
    agents.push_back(*std::move(agent));
  }
  const size_t stored = agents.size();
  FleetRecord record(std::move(agents));
  if (record.agents().size() != stored) {
    return std::nullopt;
  }
  return record;
}

}  // namespace

std::string FleetCodec::Encode(const FleetRecord& record) const {
  Json agents = Json::array();
  for (const FleetAgent& agent : record.agents()) {
    agents.push_back(ToJson(agent));
  }
  std::string bytes;
  Json::to_cbor(Json::array({kFormat, std::move(agents)}), bytes);
  return bytes;
}

std::optional<FleetRecord> FleetCodec::Decode(std::string_view bytes) {
  if (bytes.empty()) {
    return FleetRecord();
  }
  const std::optional<Json> document = cbor::Read(bytes);
  std::optional<FleetRecord> record =
      document ? RecordFrom(*document) : std::nullopt;
  if (!record) {
    error_ = base::Error(
        base::ErrorKind::kCorrupt,
        std::string("KV key ") + kFleetKey + " holds no fleet record",
        "restore the key from a backup, or delete it and restart the agents");
  }
  return record;
}

}  // namespace godwit::membership
