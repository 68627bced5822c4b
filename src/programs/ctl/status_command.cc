#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>

#include "limpethatch/process/json_members.h"
#include "limpethatch/version/step_ledger.h"
#include "programs/ctl/commands.h"
#include "programs/ctl/table.h"

namespace limpethatch {
namespace {

using boost::json::array;
using boost::json::object;

// An instance that has sent no message for this long is reported as silent.
constexpr uint64_t kSilentThresholdMs = 3000;

std::string NumberText(const object& value, std::string_view key) {
  return std::to_string(UnsignedMember(value, key));
}

// Calls `visit` for each object in the array `key`.
template <typename Visit>
void ForEachObject(const object& body, std::string_view key, Visit visit) {
  const array* list = ArrayMember(body, key);
  for (size_t i = 0; list != nullptr && i < list->size(); ++i) {
    if (const object* element = (*list)[i].if_object()) {
      visit(*element);
    }
  }
}

void PrintInstances(const object& status) {
  Table table({"zone", "instance", "manifest", "behind", "silent for"});
  const uint64_t current = UnsignedMember(status, "manifest_version");
  ForEachObject(status, "instances", [&](const object& instance) {
    const uint64_t running_version =
        UnsignedMember(instance, "manifest_version");
    table.AddRow(
        {StringMember(instance, "zone"), StringMember(instance, "id"),
         std::to_string(running_version),
         std::to_string(current > running_version ? current - running_version
                                                  : 0),
         NumberText(instance, "silent_ms") + " ms"});
  });
  fmt::print("{}\n", table.ToString());
}

void PrintTargets(const object& targets, const object& status) {
  std::map<std::string, uint64_t> wanted_versions;
  ForEachObject(status, "pools", [&](const object& pool) {
    wanted_versions[StringMember(pool, "pool")] =
        UnsignedMember(pool, "version");
  });
  Table table({"zone", "target", "serves", "state", "runs", "wanted"});
  ForEachObject(targets, "targets", [&](const object& target) {
    const auto found = wanted_versions.find(StringMember(target, "service"));
    table.AddRow(
        {StringMember(target, "zone"), StringMember(target, "id"),
         StringMember(target, "service"),
         BoolMember(target, "leaving") ? "leaving" : "serving",
         NumberText(target, "version"),
         found == wanted_versions.end() ? "-" : std::to_string(found->second)});
  });
  fmt::print("{}\n", table.ToString());
}

void PrintReplicas(const object& status) {
  Table table({"control instance", "votes", "reached", "entries"});
  ForEachObject(status, "replicas", [&](const object& replica) {
    table.AddRow({StringMember(replica, "id"),
                  BoolMember(replica, "voting") ? "yes" : "no",
                  BoolMember(replica, "reachable") ? "yes" : "no",
                  NumberText(replica, "match_index")});
  });
  fmt::print("leader {}, term {}, {} entries committed\n{}\n",
             StringMember(status, "leader"), NumberText(status, "term"),
             NumberText(status, "commit_index"), table.ToString());
}

void PrintSteps(const object& status) {
  Table table({"trainer", "step", "samples", "waiting", "running", "recorded",
               "delivered"});
  bool has_steps = false;
  ForEachObject(status, "steps", [&](const object& step) {
    has_steps = true;
    table.AddRow({StringMember(step, "trainer"), StringMember(step, "step"),
                  NumberText(step, "total"), NumberText(step, "waiting"),
                  NumberText(step, "running"), NumberText(step, "recorded"),
                  NumberText(step, "acknowledged")});
  });
  if (has_steps) {
    fmt::print("{}\n", table.ToString());
  }
}

// Describes the problems and how the system handles them; empty if there are
// none.
std::string DescribeProblems(const object& status, const object& targets) {
  if (!BoolMember(status, "quorum")) {
    return "no quorum of control instances: live requests go on, orders and "
           "samples wait; it heals when a majority can be reached";
  }
  std::string problems;
  const auto add_problem = [&problems](const std::string& text) {
    problems += (problems.empty() ? "" : "; ") + text;
  };
  ForEachObject(status, "replicas", [&](const object& replica) {
    if (!BoolMember(replica, "reachable")) {
      add_problem(fmt::format("{} is not reached: the others go on",
                              StringMember(replica, "id")));
    }
  });
  const uint64_t current = UnsignedMember(status, "manifest_version");
  ForEachObject(status, "instances", [&](const object& instance) {
    if (UnsignedMember(instance, "silent_ms") > kSilentThresholdMs) {
      add_problem(fmt::format("{} is silent: its work is given to others",
                              StringMember(instance, "id")));
    } else if (UnsignedMember(instance, "manifest_version") < current) {
      add_problem(fmt::format("{} fetches manifest {}",
                              StringMember(instance, "id"), current));
    }
  });
  ForEachObject(status, "steps", [&](const object& step) {
    if (UnsignedMember(step, "most_remakes") >= kBoundMissedRemakes) {
      add_problem(fmt::format(
          "step {} of {} can't meet its bound at this pace: samples are made "
          "again; raise max_staleness or publish less often",
          StringMember(step, "step"), StringMember(step, "trainer")));
    }
  });
  ForEachObject(status, "pools", [&](const object& pool) {
    ForEachObject(targets, "targets", [&](const object& target) {
      if (StringMember(target, "service") == StringMember(pool, "pool") &&
          UnsignedMember(target, "version") < UnsignedMember(pool, "version")) {
        add_problem(fmt::format("{} loads version {}",
                                StringMember(target, "id"),
                                UnsignedMember(pool, "version")));
      }
    });
  });
  return problems;
}

}  // namespace

int Status(const CommandOptions& options) {
  const OperatorResponse targets =
      CallOperator(options.access, "GET", "/v1/targets");
  const OperatorResponse status =
      CallOperator(options.access, "GET", "/v1/status");
  if (!targets.reached || !targets.body.is_object() || targets.status != 200) {
    return ReportFailedCall(targets);
  }
  const bool has_status = status.reached && status.status == 200;
  object body =
      has_status ? status.body.as_object() : object{{"quorum", false}};
  const std::string problems = DescribeProblems(body, targets.body.as_object());
  if (options.format == Format::kJson) {
    body["targets"] = targets.body.as_object().at("targets");
    body["trouble"] = problems;
    fmt::print("{}\n", boost::json::serialize(body));
  } else {
    PrintInstances(body);
    PrintTargets(targets.body.as_object(), body);
    PrintReplicas(body);
    PrintSteps(body);
    fmt::print("{}\n", problems.empty() ? "all is well" : problems);
  }
  return has_status ? kExitSuccess : kExitUnreachable;
}

int Drain(const CommandOptions& options) {
  const OperatorResponse response =
      CallOperator(options.access, "POST", "/v1/drain");
  if (!response.reached || response.status != 202) {
    return ReportFailedCall(response);
  }
  if (options.format == Format::kJson) {
    fmt::print("{}\n", response.text);
  } else {
    fmt::print(
        "the instance is draining; it exits once its requests have finished\n");
  }
  return kExitSuccess;
}

int ReportFailedCall(const OperatorResponse& response) {
  if (response.reached) {
    fmt::print(stderr, "refused ({}): {}\n", response.status, response.text);
    return response.status == 503 ? kExitUnreachable : kExitRefused;
  }
  fmt::print(stderr, "{}\n",
             response.uncertain
                 ? "no response received: the call may have taken effect"
                 : "no instance could be reached: nothing was done");
  return response.uncertain ? kExitUncertain : kExitUnreachable;
}

}  // namespace limpethatch
