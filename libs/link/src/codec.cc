#include "link/codec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "frame_reader.h"

namespace godwit::link {
namespace {

using Json = nlohmann::json;

constexpr size_t kDigestBytes = 16;
constexpr size_t kHalfDigestBytes = 8;
// Scalars of the largest message, StartRun, with its type number.
constexpr size_t kMaxFields = 20;
constexpr unsigned kBitsPerByte = 8;
constexpr char kPeerRemedy[] =
    "run the same release of godwitlatch on both processes";

uint8_t MaxValue(base::ErrorKind /*unused*/) noexcept {
  return static_cast<uint8_t>(base::ErrorKind::kInternal);
}
uint8_t MaxValue(RunPhase /*unused*/) noexcept {
  return static_cast<uint8_t>(RunPhase::kTombstoned);
}

void AppendHalf(std::vector<uint8_t>& bytes, uint64_t half) {
  for (size_t i = 0; i < kHalfDigestBytes; ++i) {
    const size_t shift = kBitsPerByte * (kHalfDigestBytes - 1 - i);
    bytes.push_back(static_cast<uint8_t>(half >> shift));
  }
}

uint64_t ReadHalf(std::string_view bytes) noexcept {
  uint64_t half = 0;
  for (const char c : bytes) {
    half = half << kBitsPerByte | static_cast<uint8_t>(c);
  }
  return half;
}

// Appends fields to the array of a frame.
class FieldWriter {
 public:
  explicit FieldWriter(Json::array_t& array) noexcept : array_(array) {}

  void operator()(const char* /*name*/, bool value) {
    array_.emplace_back(value);
  }
  void operator()(const char* /*name*/, int64_t value) {
    array_.emplace_back(value);
  }
  void operator()(const char* /*name*/, uint32_t value) {
    array_.emplace_back(value);
  }
  void operator()(const char* /*name*/, const std::string& value) {
    array_.push_back(
        Json::binary(std::vector<uint8_t>(value.begin(), value.end())));
  }
  void operator()(const char* /*name*/, base::Millis value) {
    array_.emplace_back(value.count());
  }
  void operator()(const char* /*name*/, base::Digest value) {
    std::vector<uint8_t> bytes;
    bytes.reserve(kDigestBytes);
    AppendHalf(bytes, value.high());
    AppendHalf(bytes, value.low());
    array_.push_back(Json::binary(std::move(bytes)));
  }
  template <typename Tag>
  void operator()(const char* /*name*/, const base::TypedId<Tag>& value) {
    array_.emplace_back(value.value());
  }
  template <typename Enum, std::enable_if_t<std::is_enum_v<Enum>, int> = 0>
  void operator()(const char* /*name*/, Enum value) {
    array_.emplace_back(static_cast<uint8_t>(value));
  }

 private:
  Json::array_t& array_;
};

// Sets fields from the scalars of a frame; records the first field that is
// missing or has an invalid value.
class FieldReader {
 public:
  explicit FieldReader(std::vector<Scalar>& scalars) noexcept
      : scalars_(scalars) {}

  template <typename Field>
  void operator()(const char* name, Field& field) {
    if (invalid_field_ != nullptr) {
      return;
    }
    if (next_ >= scalars_.size() || !Set(scalars_[next_], field)) {
      invalid_field_ = name;
    }
    ++next_;
  }

  // Null when all fields are valid.
  const char* invalid_field() const noexcept { return invalid_field_; }
  bool exhausted() const noexcept { return next_ == scalars_.size(); }

 private:
  static bool Set(Scalar& scalar, bool& field) {
    const bool* value = std::get_if<bool>(&scalar);
    field = value != nullptr && *value;
    return value != nullptr;
  }
  static bool Set(Scalar& scalar, int64_t& field) {
    const int64_t* value = std::get_if<int64_t>(&scalar);
    field = value != nullptr ? *value : 0;
    return value != nullptr;
  }
  static bool Set(Scalar& scalar, uint32_t& field) {
    int64_t value = 0;
    if (!Set(scalar, value) || value < 0 || value > UINT32_MAX) {
      return false;
    }
    field = static_cast<uint32_t>(value);
    return true;
  }
  static bool Set(Scalar& scalar, base::Millis& field) {
    int64_t value = 0;
    if (!Set(scalar, value)) {
      return false;
    }
    field = base::Millis(value);
    return true;
  }
  static bool Set(Scalar& scalar, std::string& field) {
    auto* bytes = std::get_if<Bytes>(&scalar);
    if (bytes == nullptr) {
      return false;
    }
    field = std::move(bytes->value);
    return true;
  }
  static bool Set(Scalar& scalar, base::Digest& field) {
    const auto* bytes = std::get_if<Bytes>(&scalar);
    if (bytes == nullptr || bytes->value.size() != kDigestBytes) {
      return false;
    }
    const std::string_view view = bytes->value;
    field = base::Digest(ReadHalf(view.substr(0, kHalfDigestBytes)),
                         ReadHalf(view.substr(kHalfDigestBytes)));
    return true;
  }
  template <typename Tag>
  static bool Set(Scalar& scalar, base::TypedId<Tag>& field) {
    auto* text = std::get_if<Text>(&scalar);
    if (text == nullptr) {
      return false;
    }
    field = base::TypedId<Tag>(std::move(text->value));
    return true;
  }
  template <typename Enum, std::enable_if_t<std::is_enum_v<Enum>, int> = 0>
  static bool Set(Scalar& scalar, Enum& field) {
    int64_t value = 0;
    if (!Set(scalar, value) || value < 0 || value > MaxValue(field)) {
      return false;
    }
    field = static_cast<Enum>(value);
    return true;
  }

  std::vector<Scalar>& scalars_;
  // Index of the next field; index 0 is the type number.
  size_t next_ = 1;
  const char* invalid_field_ = nullptr;
};

base::Error Malformed(std::string message) {
  return {base::ErrorKind::kMalformed, std::move(message), kPeerRemedy};
}

// Reads the fields of message type `Type`.
template <typename Type>
std::optional<Message> ReadFields(std::vector<Scalar>& scalars,
                                  size_t type,
                                  base::Error& error) {
  Type message;
  FieldReader reader(scalars);
  Type::ForEachField(message, reader);
  if (reader.invalid_field() != nullptr) {
    error =
        Malformed("frame of type " + std::to_string(type) +
                  " has a missing or invalid field " + reader.invalid_field());
    return std::nullopt;
  }
  if (!reader.exhausted()) {
    error = Malformed("frame of type " + std::to_string(type) +
                      " has more fields than its message type");
    return std::nullopt;
  }
  return message;
}

using ReadFunction = std::optional<Message> (*)(std::vector<Scalar>&,
                                                size_t,
                                                base::Error&);

template <size_t... kTypes>
constexpr std::array<ReadFunction, sizeof...(kTypes)> MakeReaders(
    std::index_sequence<kTypes...> /*unused*/) {
  return {&ReadFields<std::variant_alternative_t<kTypes, Message>>...};
}

constexpr auto kReaders =
    MakeReaders(std::make_index_sequence<std::variant_size_v<Message>>());

}  // namespace

std::string Codec::Encode(const Message& message) {
  Json::array_t array;
  array.reserve(kMaxFields);
  array.emplace_back(message.index());
  FieldWriter writer(array);
  std::visit(
      [&writer](const auto& typed) {
        std::decay_t<decltype(typed)>::ForEachField(typed, writer);
      },
      message);
  std::string frame;
  Json::to_cbor(Json(std::move(array)), frame);
  return frame;
}

std::optional<Message> Codec::Decode(std::string_view bytes) {
  if (bytes.size() > max_frame_bytes_) {
    error_ = base::Error(
        base::ErrorKind::kTooLarge,
        "frame of " + std::to_string(bytes.size()) +
            " bytes exceeds the limit of " + std::to_string(max_frame_bytes_),
        "lower the body limit of the sender or raise the frame limit");
    return std::nullopt;
  }
  auto scalars = ReadFrame(bytes);
  if (!scalars || scalars->empty()) {
    error_ = Malformed("frame is no CBOR array of scalars");
    return std::nullopt;
  }
  const int64_t* type = std::get_if<int64_t>(&scalars->front());
  if (type == nullptr) {
    error_ = Malformed("frame has no type number");
    return std::nullopt;
  }
  if (*type < 0 || static_cast<size_t>(*type) >= kReaders.size()) {
    error_ = base::Error(base::ErrorKind::kProtocol,
                         "frame has unknown type " + std::to_string(*type),
                         kPeerRemedy);
    return std::nullopt;
  }
  const auto index = static_cast<size_t>(*type);
  return kReaders[index](*scalars, index, error_);
}

}  // namespace godwit::link
