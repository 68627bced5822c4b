// Writer for the Prometheus text exposition format.
#ifndef LIMPETHATCH_PROCESS_METRICS_TEXT_H_
#define LIMPETHATCH_PROCESS_METRICS_TEXT_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace limpethatch {

enum class MetricType { kCounter, kGauge, kHistogram, kSummary };

class MetricsText {
 public:
  using Label = std::pair<std::string_view, std::string_view>;

  // Starts a metric family; its samples follow.
  void Family(std::string_view name, MetricType type, std::string_view help);
  // Adds a sample to the current family. `suffix` is "", "_sum" or "_count".
  void Sample(std::initializer_list<Label> labels,
              double value,
              std::string_view suffix = "");
  // Adds a family with one sample without labels.
  void Single(std::string_view name,
              MetricType type,
              std::string_view help,
              double value);

  const std::string& text() const { return text_; }

 private:
  std::string name_;
  std::string text_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_METRICS_TEXT_H_
