#ifndef TELEMETRY_FIELD_H_
#define TELEMETRY_FIELD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "base/millis.h"
#include "base/typed_id.h"

namespace godwit::telemetry {

// Key and value of one field of a log entry.
class Field {
 public:
  using Value = std::variant<std::string, int64_t, double, bool>;

  Field(std::string_view key, std::string value)
      : key_(key), value_(std::move(value)) {}
  Field(std::string_view key, std::string_view value)
      : key_(key), value_(std::string(value)) {}
  Field(std::string_view key, const char* value)
      : key_(key), value_(std::string(value)) {}
  // Stored in milliseconds; by convention the key ends in _ms.
  Field(std::string_view key, base::Millis value)
      : key_(key), value_(value.count()) {}
  template <typename Tag>
  Field(std::string_view key, const base::TypedId<Tag>& value)
      : key_(key), value_(value.value()) {}
  template <typename Number,
            typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
  Field(std::string_view key, Number value)
      : key_(key), value_(ToValue(value)) {}

  const std::string& key() const noexcept { return key_; }
  const Value& value() const noexcept { return value_; }

  friend bool operator==(const Field& a, const Field& b) {
    return a.key_ == b.key_ && a.value_ == b.value_;
  }
  friend bool operator!=(const Field& a, const Field& b) { return !(a == b); }

 private:
  static Value ToValue(bool value) { return value; }
  static Value ToValue(double value) { return value; }
  static Value ToValue(float value) { return static_cast<double>(value); }
  template <typename Integer>
  static Value ToValue(Integer value) {
    return static_cast<int64_t>(value);
  }

  std::string key_;
  Value value_;
};

}  // namespace godwit::telemetry

#endif  // TELEMETRY_FIELD_H_
