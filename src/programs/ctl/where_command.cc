#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "limpethatch/process/json_members.h"
#include "programs/ctl/commands.h"
#include "programs/ctl/table.h"

namespace limpethatch {
namespace {

using boost::json::array;
using boost::json::object;

std::string JoinTexts(const object& value, std::string_view key) {
  std::string joined;
  if (const array* texts = ArrayMember(value, key)) {
    for (const auto& text : *texts) {
      if (text.is_string()) {
        joined += (joined.empty() ? "" : ",") + std::string(text.as_string());
      }
    }
  }
  return joined.empty() ? "-" : joined;
}

void PrintCandidates(const object& answer) {
  const array* candidates = ArrayMember(answer, "candidates");
  if (candidates == nullptr) {
    return;
  }
  Table table({"target", "zone", "outstanding", "latency", "failures",
               "load age", "excluded by", "hedges excluded by"});
  for (const auto& element : *candidates) {
    const object* candidate = element.if_object();
    if (candidate == nullptr) {
      continue;
    }
    table.AddRow(
        {StringMember(*candidate, "target"), StringMember(*candidate, "zone"),
         fmt::format("{}/{}", UnsignedMember(*candidate, "outstanding"),
                     UnsignedMember(*candidate, "slots")),
         fmt::format("{:.1f} ms", DoubleMember(*candidate, "latency_ms")),
         fmt::format("{:.0f}%",
                     100 * DoubleMember(*candidate, "failure_share")),
         candidate->contains("load_age_ms")
             ? fmt::format("{} ms", UnsignedMember(*candidate, "load_age_ms"))
             : "-",
         JoinTexts(*candidate, "excluded_by"),
         JoinTexts(*candidate, "hedge_excluded_by")});
  }
  fmt::print("{}", table.ToString());
}

void PrintHedge(const object& answer) {
  const object* hedge = ObjectMember(answer, "hedge");
  if (hedge == nullptr) {
    return;
  }
  if (!BoolMember(*hedge, "possible")) {
    fmt::print("hedge: none\n");
    return;
  }
  fmt::print("hedge: after {} ms{}\n", UnsignedMember(*hedge, "delay_ms"),
             BoolMember(*hedge, "needs_permit") ? ", with a permit" : "");
}

void PrintAnswer(const object& answer) {
  fmt::print("instance: {} in {}, {}; {}\n", StringMember(answer, "instance"),
             StringMember(answer, "zone"),
             BoolMember(answer, "ready") ? "ready" : "not ready",
             answer.contains("quorum_contact_age_ms")
                 ? fmt::format("heard a quorum {} ms ago",
                               UnsignedMember(answer, "quorum_contact_age_ms"))
                 : "has not heard a quorum");
  fmt::print("configuration: {}{}\n",
             UnsignedMember(answer, "configuration_version"),
             BoolMember(answer, "configuration_outdated")  ? ", outdated"
             : BoolMember(answer, "configuration_current") ? ", current"
                                                           : "");
  fmt::print("route: {} {}\n", StringMember(answer, "route", "-"),
             StringMember(answer, "kind"));
  fmt::print(
      "service: {}{}\n", StringMember(answer, "service", "-"),
      BoolMember(answer, "unreachable") ? ", unreachable from here" : "");
  PrintCandidates(answer);
  PrintHedge(answer);
  fmt::print("choice: {}\n", StringMember(answer, "choice", "-"));
  if (answer.contains("refused")) {
    fmt::print("refused: {}\n", StringMember(answer, "refused"));
  }
}

}  // namespace

int Where(const CommandOptions& options) {
  const size_t slash = options.argument.find('/');
  const std::string host = options.argument.substr(0, slash);
  const std::string path =
      slash == std::string::npos ? "/" : options.argument.substr(slash);
  const object query{
      {"host", host}, {"path", path}, {"body_bytes", options.body_bytes}};
  const OperatorResponse response = CallOperator(
      options.access, "POST", "/where", boost::json::serialize(query));
  const object* answer = response.body.if_object();
  if (!response.reached || response.status != 200 || answer == nullptr) {
    return ReportFailedCall(response);
  }
  if (options.format == Format::kJson) {
    fmt::print("{}\n", response.text);
  } else {
    PrintAnswer(*answer);
  }
  return answer->contains("refused") ? kExitRefused : kExitSuccess;
}

}  // namespace limpethatch
