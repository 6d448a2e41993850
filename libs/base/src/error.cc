#include "base/error.h"

namespace godwit::base {

std::string Error::ToString() const {
  std::string text(ErrorKindName(kind_));
  text += ": ";
  text += message_;
  if (!remedy_.empty()) {
    text += "; ";
    text += remedy_;
  }
  return text;
}

}  // namespace godwit::base
