#include "limpethatch/connection/http_types.h"

#include <algorithm>
#include <cctype>

namespace limpethatch {

bool SameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

void HttpHeaders::Add(std::string_view name, std::string_view value) {
  fields_.emplace_back(name, value);
}

void HttpHeaders::Remove(std::string_view name) {
  std::erase_if(fields_, [name](const auto& field) {
    return SameHeaderName(field.first, name);
  });
}

void HttpHeaders::Set(std::string_view name, std::string_view value) {
  for (auto& [field_name, field_value] : fields_) {
    if (SameHeaderName(field_name, name)) {
      field_value = value;
      return;
    }
  }
  fields_.emplace_back(name, value);
}

std::string_view HttpHeaders::Get(std::string_view name) const {
  for (const auto& [field_name, field_value] : fields_) {
    if (SameHeaderName(field_name, name)) {
      return field_value;
    }
  }
  return {};
}

std::string QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return std::string(pair.substr(equals + 1));
    }
  }
  return {};
}

}  // namespace limpethatch
