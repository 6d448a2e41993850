#ifndef CBOR_READ_H_
#define CBOR_READ_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace godwit::cbor {

// Deepest nesting that Read accepts.
constexpr int kMaxDepth = 16;

// One whole CBOR document; empty when the bytes are damaged, followed by
// others, nested deeper than kMaxDepth, or hold a kind of value that JSON
// lacks.
std::optional<nlohmann::json> Read(std::string_view bytes);

// The member of an object; null when it is missing or `object` is none.
const nlohmann::json* Find(const nlohmann::json& object, const char* name);

// The integer in a value; empty when it is missing, of another type, or beyond
// int64_t.
std::optional<int64_t> Integer(const nlohmann::json* value);

// The text in a value; empty when it is missing or of another type.
std::optional<std::string> Text(const nlohmann::json* value);

}  // namespace godwit::cbor

#endif  // CBOR_READ_H_
