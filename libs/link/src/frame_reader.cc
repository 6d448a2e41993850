#include "frame_reader.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace godwit::link {
namespace {

using Json = nlohmann::json;

// Collects the scalars from parser events; returning false stops the parser.
class ScalarCollector : public nlohmann::json_sax<Json> {
 public:
  std::vector<Scalar> Take() { return std::move(scalars_); }

  bool null() override { return false; }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(int64_t value) override { return Add(value); }
  bool number_unsigned(uint64_t value) override {
    return value <= kMaxInteger && Add(static_cast<int64_t>(value));
  }
  bool number_float(double /*value*/, const std::string& /*text*/) override {
    return false;
  }
  bool string(std::string& value) override {
    return Add(Text{std::move(value)});
  }
  bool binary(Json::binary_t& value) override {
    return Add(Bytes{std::string(value.begin(), value.end())});
  }
  bool start_object(size_t /*size*/) override { return false; }
  bool key(std::string& /*value*/) override { return false; }
  bool end_object() override { return false; }
  bool start_array(size_t /*size*/) override {
    return !std::exchange(in_array_, true);
  }
  bool end_array() override { return true; }
  bool parse_error(size_t /*position*/,
                   const std::string& /*token*/,
                   const Json::exception& /*error*/) override {
    return false;
  }

 private:
  static constexpr uint64_t kMaxInteger = std::numeric_limits<int64_t>::max();

  bool Add(Scalar value) {
    if (!in_array_) {
      return false;
    }
    scalars_.push_back(std::move(value));
    return true;
  }

  bool in_array_ = false;
  std::vector<Scalar> scalars_;
};

}  // namespace

std::optional<std::vector<Scalar>> ReadFrame(std::string_view bytes) {
  ScalarCollector collector;
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &collector,
                       Json::input_format_t::cbor)) {
    return std::nullopt;
  }
  return collector.Take();
}

}  // namespace godwit::link
