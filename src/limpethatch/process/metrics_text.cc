#include "limpethatch/process/metrics_text.h"

#include <fmt/format.h>

namespace limpethatch {
namespace {

std::string_view TypeName(MetricType type) {
  switch (type) {
    case MetricType::kCounter:
      return "counter";
    case MetricType::kGauge:
      return "gauge";
    case MetricType::kHistogram:
      return "histogram";
    default:
      return "summary";
  }
}

std::string Escape(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

}  // namespace

void MetricsText::Family(std::string_view name,
                         MetricType type,
                         std::string_view help) {
  name_ = name;
  text_ += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name,
                       TypeName(type));
}

void MetricsText::Sample(std::initializer_list<Label> labels,
                         double value,
                         std::string_view suffix) {
  std::string listed;
  for (const auto& [key, text] : labels) {
    listed += fmt::format("{}{}=\"{}\"", listed.empty() ? "" : ",", key,
                          Escape(text));
  }
  text_ += name_;
  text_ += suffix;
  text_ += listed.empty() ? "" : "{" + listed + "}";
  text_ += fmt::format(" {}\n", value);
}

void MetricsText::Single(std::string_view name,
                         MetricType type,
                         std::string_view help,
                         double value) {
  Family(name, type, help);
  Sample({}, value);
}

}  // namespace limpethatch
