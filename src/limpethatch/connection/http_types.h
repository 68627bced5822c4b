// Plain HTTP requests and responses, free of any library's types.
#ifndef LIMPETHATCH_CONNECTION_HTTP_TYPES_H_
#define LIMPETHATCH_CONNECTION_HTTP_TYPES_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpethatch {

// Header fields in order; names compare without regard to case.
class HttpHeaders {
 public:
  // Replaces the first field of that name, or adds one.
  void Set(std::string_view name, std::string_view value);
  // Adds a field, also if there is one of that name.
  void Add(std::string_view name, std::string_view value);
  // Drops all fields of that name.
  void Remove(std::string_view name);
  // The first value of that name, or an empty view.
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
  std::string query;  // Behind the '?', undecoded.
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

// Whether two header names are the same.
bool SameHeaderName(std::string_view a, std::string_view b);

// The value of `name` in a query such as "a=1&b=2"; empty if it is absent.
std::string QueryValue(std::string_view query, std::string_view name);

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_HTTP_TYPES_H_
