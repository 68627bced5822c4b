#include "limpethatch/process/json_members.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace limpethatch {
namespace json = boost::json;

std::optional<json::object> ParseJsonObject(std::string_view text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::string StringMember(const json::object& object,
                         std::string_view key,
                         std::string_view default_value) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(std::string_view(value->get_string()))
             : std::string(default_value);
}

uint64_t UnsignedMember(const json::object& object,
                        std::string_view key,
                        uint64_t default_value) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) {
    return default_value;
  }
  json::error_code error;
  const auto number = value->to_number<uint64_t>(error);
  return error ? default_value : number;
}

double DoubleMember(const json::object& object,
                    std::string_view key,
                    double default_value) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) {
    return default_value;
  }
  json::error_code error;
  const auto number = value->to_number<double>(error);
  return error ? default_value : number;
}

bool BoolMember(const json::object& object,
                std::string_view key,
                bool default_value) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_bool() ? value->get_bool()
                                              : default_value;
}

const json::object* ObjectMember(const json::object& object,
                                 std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_object();
}

const json::array* ArrayMember(const json::object& object,
                               std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_array();
}

}  // namespace limpethatch
