#ifndef BASE_TYPED_ID_H_
#define BASE_TYPED_ID_H_

#include <functional>
#include <string>
#include <utility>

namespace godwit::base {

// A string identifier that does not convert to identifiers of other types.
template <typename Tag>
class TypedId {
 public:
  TypedId() = default;
  explicit TypedId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const noexcept { return value_; }
  bool empty() const noexcept { return value_.empty(); }

  friend bool operator==(const TypedId& a, const TypedId& b) noexcept {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const TypedId& a, const TypedId& b) noexcept {
    return a.value_ != b.value_;
  }
  friend bool operator<(const TypedId& a, const TypedId& b) noexcept {
    return a.value_ < b.value_;
  }

 private:
  std::string value_;
};

}  // namespace godwit::base

template <typename Tag>
struct std::hash<godwit::base::TypedId<Tag>> {
  size_t operator()(const godwit::base::TypedId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // BASE_TYPED_ID_H_
