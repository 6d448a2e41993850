#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <string>
#include <utility>

#include "base/error_kind.h"

namespace godwit::base {

// A failure: its kind, a description, and what the user can do about it. A
// function that fails returns an empty std::optional and stores the Error as
// last_error() of its object.
class Error {
 public:
  Error() = default;
  Error(ErrorKind kind, std::string message, std::string remedy)
      : kind_(kind), message_(std::move(message)), remedy_(std::move(remedy)) {}

  ErrorKind kind() const noexcept { return kind_; }
  const std::string& message() const noexcept { return message_; }
  const std::string& remedy() const noexcept { return remedy_; }

  // "kind: message; remedy", one line.
  std::string ToString() const;

  friend bool operator==(const Error& a, const Error& b) noexcept {
    return a.kind_ == b.kind_ && a.message_ == b.message_ &&
           a.remedy_ == b.remedy_;
  }
  friend bool operator!=(const Error& a, const Error& b) noexcept {
    return !(a == b);
  }

 private:
  ErrorKind kind_ = ErrorKind::kNone;
  std::string message_;
  std::string remedy_;
};

}  // namespace godwit::base

#endif  // BASE_ERROR_H_
