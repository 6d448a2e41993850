#include "ledger/peer_codec.h"

#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

#include "cbor/read.h"

namespace godwit::ledger {
namespace {

using Json = nlohmann::json;

constexpr char kRequest[] = "ask";
constexpr char kReply[] = "reply";
constexpr char kHello[] = "hello";
constexpr char kClockRequest[] = "clock_request";
constexpr char kClockReply[] = "clock_reply";
// Assumed of a router that does not state its processor share.
constexpr int64_t kUnknownMillicores = 1000;

std::string Bytes(const Json& document) {
  std::string bytes;
  Json::to_cbor(document, bytes);
  return bytes;
}

Json ToJson(const LoanRequest& request) {
  return {{"type", kRequest},
          {"borrower", request.borrower.value()},
          {"lender", request.lender.value()},
          {"budget", request.budget.value()},
          {"used", request.used},
          {"unproven", request.unproven},
          {"returned", request.returned},
          {"least", request.least},
          {"wished", request.wished},
          {"wall", request.wall_time.count()},
          {"urgency", request.urgency},
          {"waited", request.waited.count()},
          {"number", request.number}};
}

Json ToJson(const LoanReply& reply) {
  return {{"type", kReply},
          {"lender", reply.lender.value()},
          {"borrower", reply.borrower.value()},
          {"budget", reply.budget.value()},
          {"lent", reply.lent},
          {"state", static_cast<int64_t>(reply.state)},
          {"left", reply.left},
          {"granted", reply.granted},
          {"wall", reply.wall_time.count()},
          {"scarce", reply.is_scarce ? 1 : 0},
          {"retry", reply.retry_after.count()},
          {"number", reply.number},
          {"revision", reply.granted_revision},
          {"sequence", reply.granted_sequence}};
}

Json ToJson(const Peer& peer) {
  return {{"process", peer.process.value()},
          {"incarnation", peer.incarnation.value()},
          {"address", peer.address.ToText()},
          {"millicores", peer.millicores},
          {"era", peer.era}};
}

Json ToJson(const PeerHello& hello) {
  Json document = ToJson(hello.peer);
  document["type"] = kHello;
  document["wall"] = hello.wall_time.count();
  return document;
}

Json ToJson(const ClockRequest& request) {
  return {{"type", kClockRequest},
          {"asker", request.asker.value()},
          {"asked_at", request.asked_at.count()}};
}

Json ToJson(const ClockReply& reply) {
  return {{"type", kClockReply},
          {"asker", reply.asker.value()},
          {"asked_at", reply.asked_at.count()},
          {"router", reply.router.value()},
          {"wall", reply.wall_time.count()}};
}

std::optional<Peer> PeerIn(const Json& document) {
  const auto process = cbor::Text(cbor::Find(document, "process"));
  const auto incarnation = cbor::Text(cbor::Find(document, "incarnation"));
  const auto address = cbor::Text(cbor::Find(document, "address"));
  const auto endpoint =
      address ? base::Endpoint::FromText(*address) : std::nullopt;
  if (!process || !incarnation || !endpoint) {
    return std::nullopt;
  }
  return Peer{base::ProcessId(*process), base::Incarnation(*incarnation),
              *endpoint,
              // Routers of earlier versions don't send it.
              cbor::Integer(cbor::Find(document, "millicores"))
                  .value_or(kUnknownMillicores),
              cbor::Integer(cbor::Find(document, "era")).value_or(0)};
}

// Returns no value unless the field is a non-negative integer.
std::optional<base::Tokens> Amount(const Json& document, const char* name) {
  const auto value = cbor::Integer(cbor::Find(document, name));
  return value && *value >= 0 ? value : std::nullopt;
}

// Routers of earlier versions don't send it.
base::Millis WallTimeIn(const Json& document) {
  return base::Millis(cbor::Integer(cbor::Find(document, "wall")).value_or(0));
}

std::optional<PeerMessage> ClockMessageIn(const Json& document,
                                          bool is_request) {
  const auto asker = cbor::Text(cbor::Find(document, "asker"));
  const auto asked_at = cbor::Integer(cbor::Find(document, "asked_at"));
  if (!asker || !asked_at) {
    return std::nullopt;
  }
  if (is_request) {
    return ClockRequest{base::Incarnation(*asker), base::Millis(*asked_at)};
  }
  const auto router = cbor::Text(cbor::Find(document, "router"));
  const auto wall = cbor::Integer(cbor::Find(document, "wall"));
  if (!router || !wall) {
    return std::nullopt;
  }
  return ClockReply{base::Incarnation(*asker), base::Millis(*asked_at),
                    base::ProcessId(*router), base::Millis(*wall)};
}

std::optional<LoanReply::State> StateOf(int64_t value) {
  switch (value) {
    case static_cast<int64_t>(LoanReply::State::kLent):
      return LoanReply::State::kLent;
    case static_cast<int64_t>(LoanReply::State::kPending):
      return LoanReply::State::kPending;
    case static_cast<int64_t>(LoanReply::State::kRefused):
      return LoanReply::State::kRefused;
    case static_cast<int64_t>(LoanReply::State::kNothingFree):
      return LoanReply::State::kNothingFree;
    default:
      return std::nullopt;
  }
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  return std::visit([](const auto& m) { return Bytes(ToJson(m)); }, message);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  const auto document = cbor::Read(bytes);
  if (!document) {
    return std::nullopt;
  }
  const auto type = cbor::Text(cbor::Find(*document, "type"));
  if (type && *type == kHello) {
    auto peer = PeerIn(*document);
    if (!peer) {
      return std::nullopt;
    }
    return PeerHello{std::move(*peer), WallTimeIn(*document)};
  }
  if (type && (*type == kClockRequest || *type == kClockReply)) {
    return ClockMessageIn(*document, *type == kClockRequest);
  }
  const auto lender = cbor::Text(cbor::Find(*document, "lender"));
  const auto borrower = cbor::Text(cbor::Find(*document, "borrower"));
  const auto budget = cbor::Text(cbor::Find(*document, "budget"));
  if (!type || !lender || !borrower || !budget) {
    return std::nullopt;
  }
  if (*type == kRequest) {
    const auto used = Amount(*document, "used");
    const auto unproven = Amount(*document, "unproven");
    const auto returned = Amount(*document, "returned");
    const auto least = Amount(*document, "least");
    const auto wished = Amount(*document, "wished");
    if (!used || !unproven || !returned || !least || !wished) {
      return std::nullopt;
    }
    return LoanRequest{base::Incarnation(*borrower), base::Incarnation(*lender),
                       base::BudgetId(*budget), *used, *unproven, *returned,
                       *least, *wished, WallTimeIn(*document),
                       // Routers of earlier versions don't send these.
                       Amount(*document, "urgency").value_or(0),
                       base::Millis(Amount(*document, "waited").value_or(0)),
                       Amount(*document, "number").value_or(0)};
  }
  const auto lent = Amount(*document, "lent");
  const auto left = Amount(*document, "left");
  const auto code = Amount(*document, "state");
  const auto state = code ? StateOf(*code) : std::nullopt;
  if (*type != kReply || !lent || !left || !state) {
    return std::nullopt;
  }
  return LoanReply{base::Incarnation(*lender), base::Incarnation(*borrower),
                   base::BudgetId(*budget), *lent, *state, *left,
                   // Routers of earlier versions don't send these.
                   Amount(*document, "granted").value_or(0),
                   WallTimeIn(*document),
                   Amount(*document, "scarce").value_or(0) > 0,
                   base::Millis(Amount(*document, "retry").value_or(0)),
                   Amount(*document, "number").value_or(0),
                   Amount(*document, "revision").value_or(0),
                   Amount(*document, "sequence").value_or(0)};
}

std::string EncodePeer(const Peer& peer) {
  return Bytes(ToJson(peer));
}

std::optional<Peer> DecodePeer(std::string_view bytes) {
  const auto document = cbor::Read(bytes);
  return document ? PeerIn(*document) : std::nullopt;
}

}  // namespace godwit::ledger
