#ifndef CONFIG_SETTINGS_H_
#define CONFIG_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/millis.h"

namespace godwit::config {

// The validated settings of a process, read by SettingsReader. Reading a key
// that was not declared is a programming error and aborts; so is reading it as
// another type. Immutable; any thread.
class Settings {
 public:
  // True unless an optional key was left out.
  bool Has(std::string_view key) const;

  // Keys declared by String, Name, Ip and Choice; empty when left out.
  const std::string& Text(std::string_view key) const;
  // Keys declared by Integer; 0 when left out.
  int64_t Integer(std::string_view key) const;
  // Keys declared by Port; 0 makes the system choose a free port.
  uint16_t Port(std::string_view key) const;
  // Keys declared by Duration.
  base::Millis Duration(std::string_view key) const;
  // Keys declared by Real; 0 when left out.
  double Real(std::string_view key) const;
  // Keys declared by Flag; false when left out.
  bool Flag(std::string_view key) const;
  // Keys declared by Address.
  const base::Endpoint& Address(std::string_view key) const;
  // Keys declared by Addresses.
  const std::vector<base::Endpoint>& Addresses(std::string_view key) const;
  // Keys declared by Names.
  const std::vector<std::string>& Names(std::string_view key) const;

  // Keys of the file that have their default, since no value was filled in.
  const std::vector<std::string>& unfilled() const noexcept {
    return unfilled_;
  }

 private:
  friend class SettingsReader;
  struct Value {
    bool present = false;
    std::string text;
    int64_t integer = 0;
    double real = 0;
    std::vector<std::string> names;
    std::vector<base::Endpoint> endpoints;
  };

  const Value& ValueOf(std::string_view key) const;

  std::map<std::string, Value, std::less<>> values_;
  std::vector<std::string> unfilled_;
};

}  // namespace godwit::config

#endif  // CONFIG_SETTINGS_H_
