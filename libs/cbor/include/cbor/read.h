#ifndef CBOR_READ_H_
#define CBOR_READ_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace godwit::cbor {

// Maximum nesting depth that Read accepts.
constexpr int kMaxDepth = 16;

// Reads one complete CBOR document. Returns nullopt when the bytes are
// malformed, followed by further bytes, nested deeper than kMaxDepth, or
// contain a type that JSON does not have.
std::optional<nlohmann::json> Read(std::string_view bytes);

// Returns a member of an object, or null when it is missing or `object` is not
// an object.
const nlohmann::json* Find(const nlohmann::json& object, const char* name);

// Returns the integer in a value, or nullopt when the value is null, of another
// type, or beyond int64_t.
std::optional<int64_t> Integer(const nlohmann::json* value);

// Returns the text in a value, or nullopt when the value is null or of another
// type.
std::optional<std::string> Text(const nlohmann::json* value);

}  // namespace godwit::cbor

#endif  // CBOR_READ_H_
