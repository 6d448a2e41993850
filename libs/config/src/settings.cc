#include "config/settings.h"

#include <cstdio>
#include <cstdlib>

namespace godwit::config {

bool Settings::Has(std::string_view key) const {
  return ValueOf(key).present;
}

const std::string& Settings::Text(std::string_view key) const {
  return ValueOf(key).text;
}

int64_t Settings::Integer(std::string_view key) const {
  return ValueOf(key).integer;
}

uint16_t Settings::Port(std::string_view key) const {
  return static_cast<uint16_t>(ValueOf(key).integer);
}

base::Millis Settings::Duration(std::string_view key) const {
  return base::Millis(ValueOf(key).integer);
}

double Settings::Real(std::string_view key) const {
  return ValueOf(key).real;
}

bool Settings::Flag(std::string_view key) const {
  return ValueOf(key).integer != 0;
}

const base::Endpoint& Settings::Address(std::string_view key) const {
  static const base::Endpoint none;
  const auto& endpoints = ValueOf(key).endpoints;
  return endpoints.empty() ? none : endpoints.front();
}

const std::vector<base::Endpoint>& Settings::Addresses(
    std::string_view key) const {
  return ValueOf(key).endpoints;
}

const std::vector<std::string>& Settings::Names(std::string_view key) const {
  return ValueOf(key).names;
}

const Settings::Value& Settings::ValueOf(std::string_view key) const {
  const auto found = values_.find(key);
  if (found == values_.end()) {
    std::fprintf(stderr, "setting \"%s\" was not declared\n",
                 std::string(key).c_str());
    std::abort();
  }
  return found->second;
}

}  // namespace godwit::config
