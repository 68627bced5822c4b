#include "programs/ctl/explanation.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <set>
#include <sstream>
#include <tuple>
#include <utility>

namespace limpethatch {
namespace json = boost::json;
namespace {

constexpr std::string_view kConfigurationPrefix = "configuration/";
// Members with the id of the object that a log line refers to.
constexpr std::array<const char*, 3> kIdMembers{"request", "job", "sample"};
// Members that every log line has.
const std::set<std::string, std::less<>> kCommonMembers{
    "time", "level", "program", "instance", "event"};

std::string MemberText(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (!value) {
    return {};
  }
  return value->is_string() ? std::string(value->as_string())
                            : json::serialize(*value);
}

bool RefersTo(const json::object& line, std::string_view id) {
  if (id.starts_with(kConfigurationPrefix)) {
    const std::string event = MemberText(line, "event");
    return event.starts_with("configuration_") &&
           MemberText(line, "version") ==
               id.substr(kConfigurationPrefix.size());
  }
  return std::any_of(
      kIdMembers.begin(), kIdMembers.end(),
      [&](const char* member) { return MemberText(line, member) == id; });
}

// Descriptions of the reasons that occur in logs.
const std::map<std::string, std::string, std::less<>>& ReasonTexts() {
  static const std::map<std::string, std::string, std::less<>> texts{
      {"deadline", "its deadline passed before a target answered"},
      {"no_target", "the instance knew no target of its service"},
      {"targets_full",
       "every target of its service refused it; it did not run"},
      {"targets_failed",
       "the targets that may have run it gave no complete answer"},
      {"target_error", "the target that ran it answered with an error"},
      {"no route", "no route of the instance's configuration matched"},
      {"no configuration is known here yet",
       "the gateway had just started and had no configuration"},
      {"the state of jobs is not known here now",
       "the gateway could not reach the leader of the control group"},
      {"no quorum; nothing was accepted",
       "the control group had no quorum; nothing was accepted"},
      {"slow_engine",
       "its engine became slow; the sample continued on another engine"},
      {"silent_engine", "its engine sent no data within the time limit"},
      {"job_over", "its client ended the job"},
      {"engine_full", "the engine refused it: it was full or loading weights"},
      {"misdirected", "the address belonged to another target"},
      {"weights_too_old", "the engine's weights were too old for its job"},
      {"weights_changed",
       "the engine changed its weights, and the job takes one version only"},
      {"cannot_be_done", "the engine reported that it can never be run"},
      {"engine_error", "the engine answered with an error"},
      {"scored", "its text was scored"},
      {"target_error", "the target answered with an error"},
      {"answer_of_another_request",
       "the target sent an answer that was not to this request"},
      {"uncertain",
       "its outcome was not known when the caller had to be answered"},
      {"not_done", "the control group had no quorum; nothing was done"}};
  return texts;
}

std::string ReasonText(const std::string& reason) {
  const auto found = ReasonTexts().find(reason);
  return found == ReasonTexts().end() ? reason : found->second;
}

// Priority of an event as the cause; 0 for ordinary progress. Among events of
// equal priority the latest is used.
int CausePriority(const LoggedEvent& event) {
  static const std::map<std::string, int, std::less<>> priorities{
      {"given_up", 4},
      {"refused", 4},
      {"configuration_refused", 4},
      {"samples_given_up", 4},
      {"sample_stopped", 4},
      {"configuration_put", 3},
      {"job_submitted", 2},
      {"sample_ended", 3},
      {"reward_call_ended", 3},
      {"attempt_failed", 2}};
  const auto found = priorities.find(event.event);
  return found == priorities.end() ? 0 : found->second;
}

std::string DeriveCause(const std::vector<LoggedEvent>& events) {
  const LoggedEvent* decisive = nullptr;
  for (const LoggedEvent& event : events) {
    if (CausePriority(event) > 0 &&
        (!decisive || CausePriority(event) >= CausePriority(*decisive))) {
      decisive = &event;
    }
  }
  if (!decisive) {
    return events.empty()
               ? "No line of the logs refers to it. If it was sent, "
                 "the process it was sent to was stalled or down: look "
                 "for event_loop_late or started in its log."
               : "No failure was logged for it.";
  }
  const json::object& fields = decisive->fields;
  std::string reason = MemberText(fields, "reason");
  if (reason.empty()) {
    reason = MemberText(fields, "outcome");
  }
  std::string cause = fmt::format("{} at {}: {}", decisive->event,
                                  decisive->instance, ReasonText(reason));
  if (const std::string target = MemberText(fields, "target");
      !target.empty()) {
    cause += fmt::format(" (target {})", target);
  }
  if (const std::string ran = MemberText(fields, "ran"); !ran.empty()) {
    cause += fmt::format("; reported to the caller: {}", ran);
  }
  return cause + ".";
}

// Whether the event is a weight order to one of `targets` between `first` and
// `last`.
bool IsWeightOrderDuring(const LoggedEvent& event,
                         const std::set<std::string>& targets,
                         const std::string& first,
                         const std::string& last) {
  return event.event.starts_with("weights_order") &&
         targets.contains(MemberText(event.fields, "target")) &&
         event.time >= first && event.time <= last;
}

}  // namespace

Explanation Explain(std::string_view id, const std::vector<std::string>& logs) {
  Explanation explanation;
  std::vector<LoggedEvent> weight_orders;
  std::set<std::string> targets;
  for (const std::string& log : logs) {
    std::istringstream lines(log);
    size_t line_index = 0;
    for (std::string line; std::getline(lines, line);) {
      boost::system::error_code error;
      const json::value value = json::parse(line, error);
      if (error || !value.is_object()) {
        explanation.unparsed_lines += line.empty() ? 0 : 1;
        continue;
      }
      const json::object& object = value.as_object();
      LoggedEvent event{MemberText(object, "time"),
                        MemberText(object, "instance"),
                        MemberText(object, "event"), object, line_index++};
      if (RefersTo(object, id)) {
        if (const std::string target = MemberText(object, "target");
            !target.empty()) {
          targets.insert(target);
        }
        explanation.events.push_back(std::move(event));
      } else if (event.event.starts_with("weights_order")) {
        weight_orders.push_back(std::move(event));
      }
    }
  }
  const auto by_time = [](const LoggedEvent& a, const LoggedEvent& b) {
    return std::tie(a.time, a.instance, a.line_index) <
           std::tie(b.time, b.instance, b.line_index);
  };
  std::sort(explanation.events.begin(), explanation.events.end(), by_time);
  explanation.cause = DeriveCause(explanation.events);
  if (!explanation.events.empty()) {
    const std::string first = explanation.events.front().time;
    const std::string last = explanation.events.back().time;
    for (LoggedEvent& weight_order : weight_orders) {
      if (IsWeightOrderDuring(weight_order, targets, first, last)) {
        explanation.events.push_back(std::move(weight_order));
      }
    }
    std::sort(explanation.events.begin(), explanation.events.end(), by_time);
  }
  return explanation;
}

std::string ToText(const Explanation& explanation) {
  std::string text;
  for (const LoggedEvent& event : explanation.events) {
    text += fmt::format("{}  {:<20} {:<22}", event.time, event.instance,
                        event.event);
    for (const auto& [name, value] : event.fields) {
      if (!kCommonMembers.contains(std::string_view(name))) {
        text += fmt::format(" {}={}", std::string_view(name),
                            value.is_string() ? std::string(value.as_string())
                                              : json::serialize(value));
      }
    }
    text += '\n';
  }
  if (explanation.unparsed_lines > 0) {
    text += fmt::format("{} lines could not be parsed\n",
                        explanation.unparsed_lines);
  }
  return text + "cause: " + explanation.cause + "\n";
}

}  // namespace limpethatch
