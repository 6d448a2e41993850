#include "relay/header_list.h"

#include <algorithm>
#include <array>

namespace godwit::relay {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection",          "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te",         "trailer",
    "transfer-encoding",   "upgrade",    "proxy-connection"};

constexpr std::string_view kWhitespace = " \t";

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

bool ListHasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    if (EqualsIgnoringCase(Trim(list.substr(0, comma)), token)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

void HeaderList::Add(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value)});
}

std::optional<std::string_view> HeaderList::Find(std::string_view name) const {
  for (const HeaderField& field : fields_) {
    if (EqualsIgnoringCase(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

size_t HeaderList::bytes() const {
  size_t bytes = 0;
  for (const HeaderField& field : fields_) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

size_t HeaderList::Count(std::string_view name) const {
  return static_cast<size_t>(std::count_if(
      fields_.begin(), fields_.end(), [name](const HeaderField& f) {
        return EqualsIgnoringCase(f.name, name);
      }));
}

bool HeaderList::HasToken(std::string_view name, std::string_view token) const {
  return std::any_of(fields_.begin(), fields_.end(),
                     [&](const HeaderField& field) {
                       return EqualsIgnoringCase(field.name, name) &&
                              ListHasToken(field.value, token);
                     });
}

void AppendHeader(std::string& block,
                  std::string_view name,
                  std::string_view value) {
  block.append(name).append(": ").append(value).append("\r\n");
}

std::string MediaType(std::string_view content_type) {
  std::string type(Trim(content_type.substr(0, content_type.find(';'))));
  std::transform(type.begin(), type.end(), type.begin(), Lower);
  return type;
}

bool IsHopByHop(const HeaderList& headers, std::string_view name) {
  const bool standard = std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [name](std::string_view hop) { return EqualsIgnoringCase(hop, name); });
  return standard || headers.HasToken("connection", name);
}

}  // namespace godwit::relay
