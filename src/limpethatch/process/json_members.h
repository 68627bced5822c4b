// Lenient reading of received JSON: a member that is absent or of another type
// yields a default value.
#ifndef LIMPETHATCH_PROCESS_JSON_MEMBERS_H_
#define LIMPETHATCH_PROCESS_JSON_MEMBERS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpethatch {

// Parses `text`. Returns nullopt if it is not a JSON object.
std::optional<boost::json::object> ParseJsonObject(std::string_view text);

std::string StringMember(const boost::json::object& object,
                         std::string_view key,
                         std::string_view default_value = {});
// Negative numbers yield `default_value`.
uint64_t UnsignedMember(const boost::json::object& object,
                        std::string_view key,
                        uint64_t default_value = 0);
double DoubleMember(const boost::json::object& object,
                    std::string_view key,
                    double default_value = 0);
bool BoolMember(const boost::json::object& object,
                std::string_view key,
                bool default_value = false);
// Returns null if the member is absent or not an object.
const boost::json::object* ObjectMember(const boost::json::object& object,
                                        std::string_view key);
const boost::json::array* ArrayMember(const boost::json::object& object,
                                      std::string_view key);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_JSON_MEMBERS_H_
