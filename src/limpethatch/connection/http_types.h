// HTTP requests and responses, independent of the HTTP library in use.
#ifndef LIMPETHATCH_CONNECTION_HTTP_TYPES_H_
#define LIMPETHATCH_CONNECTION_HTTP_TYPES_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "limpethatch/connection/shared_body.h"

namespace limpethatch {

// Header fields in their order. Names are compared case-insensitively.
class HttpHeaders {
 public:
  // Replaces the value of the first field of that name, or adds a field.
  void Set(std::string_view name, std::string_view value);
  // Adds a field even if there already is one of that name.
  void Add(std::string_view name, std::string_view value);
  // Removes all fields of that name.
  void Remove(std::string_view name);
  // Returns the value of the first field of that name, or an empty view.
  std::string_view Get(std::string_view name) const;
  const std::vector<std::pair<std::string, std::string>>& all() const {
    return fields_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

struct HttpRequest {
  std::string method = "GET";
  std::string path;   // Without the query.
  std::string query;  // The part after the '?', not decoded.
  HttpHeaders headers;
  SharedBody body;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

// Compares two header names case-insensitively.
bool SameHeaderName(std::string_view a, std::string_view b);

// Returns the undecoded value of `name` in a query such as "a=1&b=2", or an
// empty string if it is absent.
std::string QueryValue(std::string_view query, std::string_view name);

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_HTTP_TYPES_H_
