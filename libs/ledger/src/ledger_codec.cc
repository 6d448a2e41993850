#include "ledger/ledger_codec.h"

#include <nlohmann/json.hpp>

#include "cbor/read.h"

namespace godwit::ledger {
namespace {

using cbor::Find;
using cbor::Integer;
using cbor::Text;
using Json = nlohmann::json;

constexpr int64_t kFormat = 1;

Json ToJson(const AgentAccount& account) {
  return Json::array({account.billed, static_cast<int>(account.state)});
}

Json ToJson(const Grant& grant) {
  Json agents = Json::object();
  for (const auto& [agent, account] : grant.agents) {
    agents[agent.value()] = ToJson(account);
  }
  Json fields = {{"holder", grant.holder.value()},
                 {"amount", grant.amount},
                 {"state", static_cast<int>(grant.state)},
                 {"agents", std::move(agents)}};
  if (grant.closure != GrantClosure::kNone) {
    fields["closure"] = static_cast<int>(grant.closure);
  }
  if (grant.sequence != 0) {
    fields["sequence"] = grant.sequence;
  }
  if (grant.revision != 0) {
    fields["revision"] = grant.revision;
  }
  return fields;
}

Json ToJson(const Budget& budget) {
  Json top_ups = Json::object();
  for (const auto& [operation, top_up] : budget.top_ups) {
    top_ups[operation] = Json::array({top_up.amount, top_up.at.count()});
  }
  Json grants = Json::object();
  for (const auto& [id, grant] : budget.grants) {
    grants[id.value()] = ToJson(grant);
  }
  Json wants = Json::object();
  for (const auto& [holder, amount] : budget.wants) {
    wants[holder.value()] = amount;
  }
  return Json{{"organisation", budget.organisation.value()},
              {"limit", budget.limit},
              {"billed", budget.billed},
              {"held", budget.held},
              {"top_ups", std::move(top_ups)},
              {"grants", std::move(grants)},
              {"wants", std::move(wants)}};
}

// Read values into fields. Each function returns false if the value does not
// have the expected type or range.
bool ReadInteger(const Json* value, int64_t& into) {
  const auto integer = Integer(value);
  if (integer) {
    into = *integer;
  }
  return integer.has_value();
}

template <typename Id>
bool ReadId(const Json* value, Id& into) {
  auto text = Text(value);
  if (text) {
    into = Id(std::move(*text));
  }
  return text.has_value();
}

template <typename Enum>
bool ReadEnum(const Json* value, Enum last, Enum& into) {
  const auto integer = Integer(value);
  if (!integer || *integer < 0 || *integer > static_cast<int64_t>(last)) {
    return false;
  }
  into = static_cast<Enum>(*integer);
  return true;
}

const Json* Element(const Json& array, size_t index, size_t size) {
  return array.is_array() && array.size() == size ? &array[index] : nullptr;
}

// Reads an object as a map keyed by the member names.
template <typename Key, typename Value, typename Read>
bool ReadMap(const Json* object, std::map<Key, Value>& into, Read read) {
  if (object == nullptr || !object->is_object()) {
    return false;
  }
  for (const auto& [name, member] : object->items()) {
    if (!read(member, into[Key(name)])) {
      return false;
    }
  }
  return true;
}

bool ReadAccount(const Json& value, AgentAccount& into) {
  return ReadInteger(Element(value, 0, 2), into.billed) &&
         ReadEnum(Element(value, 1, 2), AccountState::kLost, into.state);
}

// Earlier versions neither write nor keep some fields of a grant.
template <typename Read>
bool ReadIfPresent(const Json* value, Read read) {
  return value == nullptr || read(value);
}

bool ReadNumber(const Json* value, int64_t& into) {
  return ReadIfPresent(value, [&into](const Json* present) {
    return ReadInteger(present, into) && into >= 0;
  });
}

bool ReadClosure(const Json* value, GrantClosure& into) {
  return ReadIfPresent(value, [&into](const Json* present) {
    return ReadEnum(present, GrantClosure::kFolded, into);
  });
}

bool ReadGrant(const Json& value, Grant& into) {
  return ReadClosure(Find(value, "closure"), into.closure) &&
         ReadNumber(Find(value, "sequence"), into.sequence) &&
         ReadNumber(Find(value, "revision"), into.revision) &&
         ReadId(Find(value, "holder"), into.holder) &&
         ReadInteger(Find(value, "amount"), into.amount) &&
         ReadEnum(Find(value, "state"), GrantState::kSealed, into.state) &&
         ReadMap(Find(value, "agents"), into.agents, ReadAccount);
}

bool ReadTopUp(const Json& value, TopUp& into) {
  int64_t at = 0;
  const bool read = ReadInteger(Element(value, 0, 2), into.amount) &&
                    ReadInteger(Element(value, 1, 2), at);
  into.at = base::Millis(at);
  return read;
}

bool ReadWant(const Json& value, base::Tokens& into) {
  return ReadInteger(&value, into);
}

bool ReadBudget(const Json& value, Budget& into) {
  return ReadId(Find(value, "organisation"), into.organisation) &&
         ReadInteger(Find(value, "limit"), into.limit) &&
         ReadInteger(Find(value, "billed"), into.billed) &&
         ReadInteger(Find(value, "held"), into.held) &&
         ReadMap(Find(value, "top_ups"), into.top_ups, ReadTopUp) &&
         ReadMap(Find(value, "grants"), into.grants, ReadGrant) &&
         ReadMap(Find(value, "wants"), into.wants, ReadWant);
}

bool ReadRecord(const Json& value, LedgerRecord& into) {
  into.era = Integer(Find(value, "era")).value_or(0);
  return Integer(Find(value, "format")) == kFormat &&
         ReadId(Find(value, "write"), into.write) &&
         ReadMap(Find(value, "budgets"), into.budgets, ReadBudget);
}

}  // namespace

std::string LedgerCodec::Encode(const LedgerRecord& record) const {
  Json budgets = Json::object();
  for (const auto& [id, budget] : record.budgets) {
    budgets[id.value()] = ToJson(budget);
  }
  Json document = {{"format", kFormat},
                   {"write", record.write.value()},
                   {"budgets", std::move(budgets)}};
  if (record.era != 0) {
    document["era"] = record.era;
  }
  std::string bytes;
  Json::to_cbor(document, bytes);
  return bytes;
}

std::optional<LedgerRecord> LedgerCodec::Decode(std::string_view bytes) {
  LedgerRecord record;
  if (bytes.empty()) {
    return record;
  }
  const auto document = cbor::Read(bytes);
  if (!document || !ReadRecord(*document, record)) {
    error_ = base::Error(base::ErrorKind::kCorrupt,
                         "the ledger record can't be read",
                         "restore the record from its last sound version");
    return std::nullopt;
  }
  if (auto violation = record.CheckInvariant()) {
    error_ = std::move(*violation);
    return std::nullopt;
  }
  return record;
}

}  // namespace godwit::ledger
