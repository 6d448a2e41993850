#include "cbor/read.h"

#include <cstddef>
#include <limits>

namespace godwit::cbor {
namespace {

using Json = nlohmann::json;

// Size that the parser reports for a container of indefinite length.
constexpr size_t kIndefiniteLength = std::numeric_limits<size_t>::max();

// Stops the parser at nesting depths and element counts that would exhaust the
// stack or the memory while the document is built.
class BoundsCheck : public nlohmann::json_sax<Json> {
 public:
  explicit BoundsCheck(size_t max_elements) : max_elements_(max_elements) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return false; }
  bool key(string_t&) override { return true; }
  bool start_object(size_t elements) override { return Enter(elements); }
  bool end_object() override { return Leave(); }
  bool start_array(size_t elements) override { return Enter(elements); }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Enter(size_t elements) {
    ++depth_;
    return depth_ <= kMaxDepth &&
           (elements == kIndefiniteLength || elements <= max_elements_);
  }

  bool Leave() {
    --depth_;
    return true;
  }

  size_t max_elements_;
  int depth_ = 0;
};

}  // namespace

std::optional<Json> Read(std::string_view bytes) {
  // Each element takes at least one byte.
  BoundsCheck bounds(bytes.size());
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &bounds,
                       Json::input_format_t::cbor)) {
    return std::nullopt;
  }
  Json document = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (document.is_discarded()) {
    return std::nullopt;
  }
  return document;
}

const Json* Find(const Json& object, const char* name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

std::optional<int64_t> Integer(const Json* value) {
  if (value == nullptr || !value->is_number_integer()) {
    return std::nullopt;
  }
  if (value->is_number_unsigned() &&
      value->get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) {
    return std::nullopt;
  }
  return value->get<int64_t>();
}

std::optional<std::string> Text(const Json* value) {
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return value->get<std::string>();
}

}  // namespace godwit::cbor
