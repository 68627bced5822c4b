// Reads members of a JSON object into typed values and collects all faults:
// wrong types, values out of range, missing and unknown keys.
#ifndef LIMPETHATCH_PROCESS_JSON_READER_H_
#define LIMPETHATCH_PROCESS_JSON_READER_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/json_document.h"

namespace limpethatch {

enum class Presence { kRequired, kOptional };

// Inclusive range of the values that a member may have.
template <typename T>
struct Bounds {
  T minimum = std::numeric_limits<T>::lowest();
  T maximum = std::numeric_limits<T>::max();
};

// Read leaves a value unchanged if its member is absent or invalid.
class JsonReader {
 public:
  // Creates a reader of the root object of `document`.
  JsonReader(const JsonDocument& document, JsonFaults& faults);

  void Read(std::string_view key, std::string* text, Presence presence);
  void Read(std::string_view key, bool* flag, Presence presence);
  void Read(std::string_view key,
            double* number,
            Presence presence,
            Bounds<double> bounds = {});
  void Read(std::string_view key,
            uint64_t* number,
            Presence presence,
            Bounds<uint64_t> bounds = {});
  void Read(std::string_view key, Duration* duration, Presence presence);
  void Read(std::string_view key, Endpoint* endpoint, Presence presence);
  void Read(std::string_view key,
            std::vector<std::string>* texts,
            Presence presence);
  void Read(std::string_view key,
            std::vector<Endpoint>* endpoints,
            Presence presence);
  // Reads a size with its unit, such as "64KiB", as a number of bytes.
  void ReadByteSize(std::string_view key, uint64_t* bytes, Presence presence);

  // Returns a reader of the object `key`; nullopt if the member is absent.
  std::optional<JsonReader> Child(std::string_view key, Presence presence);
  // Returns the members of the object `key` in order. Each must be an object.
  std::vector<std::pair<std::string, JsonReader>> Members(std::string_view key,
                                                          Presence presence);
  // Returns the elements of the array `key`. Each must be an object.
  std::vector<JsonReader> Elements(std::string_view key, Presence presence);
  // Returns the names of all members and marks them as known, for objects with
  // user-defined keys.
  std::vector<std::string> Keys();

  // Adds a fault for member `key`.
  void AddFault(std::string_view key, std::string_view problem);
  // Adds a fault for each member that was not read.
  void RejectUnknown();

 private:
  JsonReader(const JsonDocument& document,
             JsonFaults& faults,
             const boost::json::value& value,
             std::string path);

  const boost::json::value* Find(std::string_view key, Presence presence);
  void AddExpectedFault(std::string_view key, std::string_view what);

  const JsonDocument* document_;
  JsonFaults* faults_;
  const boost::json::object* object_ = nullptr;
  std::string path_;
  std::set<std::string, std::less<>> known_keys_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_JSON_READER_H_
