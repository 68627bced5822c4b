#include "limpethatch/process/json_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

#include "limpethatch/process/units.h"

namespace limpethatch {
namespace {

constexpr std::string_view kDurationForm =
    "a duration with its unit, such as \"250ms\", \"2s\" or \"5min\"";
constexpr std::string_view kStringArrayForm =
    "an array of texts, such as [\"a\", \"b\"]";
constexpr std::string_view kEndpointForm =
    "an IP number and a port, such as \"127.0.0.1:8100\"";

std::string_view View(const boost::json::string& text) {
  return {text.data(), text.size()};
}

// Keys with a larger edit distance are not suggested.
constexpr size_t kMaxSuggestionDistance = 2;

// Levenshtein distance.
size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = std::exchange(row[0], i);
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = std::exchange(
          row[j], std::min({replaced, row[j] + 1, row[j - 1] + 1}));
    }
  }
  return row[b.size()];
}

// Returns a hint that names a similar known key, or else all known keys.
std::string Suggestion(const std::set<std::string, std::less<>>& known,
                       std::string_view key) {
  for (const std::string& candidate : known) {
    const size_t longer = std::max(candidate.size(), key.size());
    const size_t shorter = std::min(candidate.size(), key.size());
    if (longer - shorter <= kMaxSuggestionDistance &&
        longer > kMaxSuggestionDistance + 1 &&
        EditDistance(candidate, key) <= kMaxSuggestionDistance) {
      return fmt::format("; did you mean \"{}\"?", candidate);
    }
  }
  return fmt::format("; known here: {}", fmt::join(known, ", "));
}

}  // namespace

JsonReader::JsonReader(const JsonDocument& document, JsonFaults& faults)
    : JsonReader(document, faults, document.root(), "") {}

JsonReader::JsonReader(const JsonDocument& document,
                       JsonFaults& faults,
                       const boost::json::value& value,
                       std::string path)
    : document_(&document),
      faults_(&faults),
      object_(value.if_object()),
      path_(std::move(path)) {
  if (object_ == nullptr && (!path_.empty() || faults.empty())) {
    faults.push_back({path_, document.LineOf(path_), "expected an object"});
  }
}

const boost::json::value* JsonReader::Find(std::string_view key,
                                           Presence presence) {
  known_keys_.emplace(key);
  if (object_ == nullptr) {
    return nullptr;
  }
  const boost::json::value* value =
      object_->if_contains(boost::json::string_view(key));
  if (value == nullptr && presence == Presence::kRequired) {
    faults_->push_back({JoinPath(path_, key), document_->LineOf(path_),
                        "this key is missing; add it"});
  }
  return value;
}

void JsonReader::AddFault(std::string_view key, std::string_view problem) {
  const std::string path = JoinPath(path_, key);
  const int line = document_->LineOf(path);
  faults_->push_back(
      {path, line > 0 ? line : document_->LineOf(path_), std::string(problem)});
}

void JsonReader::AddExpectedFault(std::string_view key, std::string_view what) {
  AddFault(key, fmt::format("expected {}", what));
}

void JsonReader::Read(std::string_view key,
                      std::string* text,
                      Presence presence) {
  const boost::json::value* value = Find(key, presence);
  if (value == nullptr) {
    return;
  }
  if (const boost::json::string* string = value->if_string()) {
    *text = View(*string);
    return;
  }
  AddExpectedFault(key, "a text");
}

void JsonReader::Read(std::string_view key, bool* flag, Presence presence) {
  const boost::json::value* value = Find(key, presence);
  if (value == nullptr) {
    return;
  }
  if (const bool* read = value->if_bool()) {
    *flag = *read;
    return;
  }
  AddExpectedFault(key, "true or false");
}

void JsonReader::Read(std::string_view key,
                      double* number,
                      Presence presence,
                      Bounds<double> bounds) {
  const boost::json::value* value = Find(key, presence);
  if (value == nullptr) {
    return;
  }
  boost::json::error_code error;
  const auto read = value->to_number<double>(error);
  if (!error && read >= bounds.minimum && read <= bounds.maximum) {
    *number = read;
    return;
  }
  AddExpectedFault(key, fmt::format("a number from {} to {}", bounds.minimum,
                                    bounds.maximum));
}

void JsonReader::Read(std::string_view key,
                      uint64_t* number,
                      Presence presence,
                      Bounds<uint64_t> bounds) {
  const boost::json::value* value = Find(key, presence);
  if (value == nullptr) {
    return;
  }
  boost::json::error_code error;
  const bool whole = value->is_int64() || value->is_uint64();
  const auto read = whole ? value->to_number<uint64_t>(error) : 0;
  if (whole && !error && read >= bounds.minimum && read <= bounds.maximum) {
    *number = read;
    return;
  }
  AddExpectedFault(key, fmt::format("a whole number from {} to {}",
                                    bounds.minimum, bounds.maximum));
}

void JsonReader::Read(std::string_view key,
                      Duration* duration,
                      Presence presence) {
  const boost::json::value* value = Find(key, presence);
  if (value == nullptr) {
    return;
  }
  const boost::json::string* text = value->if_string();
  if (text == nullptr || !ParseDuration(View(*text), duration)) {
    AddExpectedFault(key, kDurationForm);
  }
}

void JsonReader::ReadByteSize(std::string_view key,
                              uint64_t* bytes,
                              Presence presence) {
  const boost::json::value* value = Find(key, presence);
  if (value == nullptr) {
    return;
  }
  const boost::json::string* text = value->if_string();
  if (text == nullptr || !ParseByteSize(View(*text), bytes)) {
    AddExpectedFault(key,
                     "a size with its unit, such as \"64KiB\" or \"8MiB\"");
  }
}

void JsonReader::Read(std::string_view key,
                      Endpoint* endpoint,
                      Presence presence) {
  const boost::json::value* value = Find(key, presence);
  if (value == nullptr) {
    return;
  }
  const boost::json::string* text = value->if_string();
  if (text == nullptr || !ParseEndpoint(View(*text), endpoint)) {
    AddExpectedFault(key, kEndpointForm);
  }
}

void JsonReader::Read(std::string_view key,
                      std::vector<std::string>* texts,
                      Presence presence) {
  const boost::json::value* value = Find(key, presence);
  if (value == nullptr) {
    return;
  }
  const boost::json::array* array = value->if_array();
  if (array == nullptr) {
    AddExpectedFault(key, kStringArrayForm);
    return;
  }
  std::vector<std::string> read;
  for (const boost::json::value& element : *array) {
    const boost::json::string* text = element.if_string();
    if (text == nullptr) {
      AddExpectedFault(key, kStringArrayForm);
      return;
    }
    read.emplace_back(View(*text));
  }
  *texts = std::move(read);
}

void JsonReader::Read(std::string_view key,
                      std::vector<Endpoint>* endpoints,
                      Presence presence) {
  std::vector<std::string> texts;
  Read(key, &texts, presence);
  for (const std::string& text : texts) {
    Endpoint endpoint;
    if (!ParseEndpoint(text, &endpoint)) {
      AddExpectedFault(key, kEndpointForm);
      return;
    }
    endpoints->push_back(std::move(endpoint));
  }
}

std::optional<JsonReader> JsonReader::Child(std::string_view key,
                                            Presence presence) {
  const boost::json::value* value = Find(key, presence);
  if (value == nullptr) {
    return std::nullopt;
  }
  return JsonReader(*document_, *faults_, *value, JoinPath(path_, key));
}

std::vector<std::pair<std::string, JsonReader>> JsonReader::Members(
    std::string_view key,
    Presence presence) {
  std::vector<std::pair<std::string, JsonReader>> members;
  std::optional<JsonReader> child = Child(key, presence);
  if (!child) {
    return members;
  }
  for (const std::string& name : child->Keys()) {
    members.emplace_back(name, *child->Child(name, Presence::kRequired));
  }
  return members;
}

std::vector<JsonReader> JsonReader::Elements(std::string_view key,
                                             Presence presence) {
  std::vector<JsonReader> elements;
  const boost::json::value* value = Find(key, presence);
  if (value == nullptr) {
    return elements;
  }
  const boost::json::array* array = value->if_array();
  if (array == nullptr) {
    AddExpectedFault(key, "an array of objects");
    return elements;
  }
  const std::string path = JoinPath(path_, key);
  for (size_t i = 0; i < array->size(); ++i) {
    elements.push_back(JsonReader(*document_, *faults_, (*array)[i],
                                  JoinPath(path, std::to_string(i))));
  }
  return elements;
}

std::vector<std::string> JsonReader::Keys() {
  std::vector<std::string> keys;
  if (object_ == nullptr) {
    return keys;
  }
  for (const auto& member : *object_) {
    keys.emplace_back(member.key().data(), member.key().size());
    known_keys_.insert(keys.back());
  }
  return keys;
}

void JsonReader::RejectUnknown() {
  if (object_ == nullptr) {
    return;
  }
  for (const auto& member : *object_) {
    const std::string_view key(member.key().data(), member.key().size());
    if (!known_keys_.contains(key)) {
      AddFault(key, fmt::format("unknown key \"{}\"{}", key,
                                Suggestion(known_keys_, key)));
    }
  }
}

}  // namespace limpethatch
