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

// An instance that has not said hello for so long counts as silent.
constexpr uint64_t kSilentMs = 3000;

std::string Number(const object& value, std::string_view key) {
  return std::to_string(UnsignedMember(value, key));
}

// Calls `visit` for each object in the array `key`.
template <typename Visit>
void ForEach(const object& body, std::string_view key, Visit visit) {
  const array* list = ArrayMember(body, key);
  for (size_t i = 0; list != nullptr && i < list->size(); ++i) {
    if (const object* element = (*list)[i].if_object()) {
      visit(*element);
    }
  }
}

void PrintInstances(const object& status) {
  Table table({"zone", "instance", "manifest", "behind", "heard before"});
  const uint64_t current = UnsignedMember(status, "manifest_version");
  ForEach(status, "instances", [&](const object& instance) {
    const uint64_t runs = UnsignedMember(instance, "manifest_version");
    table.Add({StringMember(instance, "zone"), StringMember(instance, "id"),
               std::to_string(runs),
               std::to_string(current > runs ? current - runs : 0),
               Number(instance, "silent_ms") + " ms"});
  });
  fmt::print("{}\n", table.ToString());
}

void PrintTargets(const object& targets, const object& status) {
  std::map<std::string, uint64_t> wanted;
  ForEach(status, "pools", [&](const object& pool) {
    wanted[StringMember(pool, "pool")] = UnsignedMember(pool, "version");
  });
  Table table({"zone", "target", "serves", "state", "runs", "wanted"});
  ForEach(targets, "targets", [&](const object& target) {
    const auto found = wanted.find(StringMember(target, "service"));
    table.Add({StringMember(target, "zone"), StringMember(target, "id"),
               StringMember(target, "service"),
               BoolMember(target, "leaving") ? "leaving" : "serving",
               Number(target, "version"),
               found == wanted.end() ? "-" : std::to_string(found->second)});
  });
  fmt::print("{}\n", table.ToString());
}

void PrintReplicas(const object& status) {
  Table table({"control instance", "votes", "reached", "entries"});
  ForEach(status, "replicas", [&](const object& replica) {
    table.Add({StringMember(replica, "id"),
               BoolMember(replica, "voting") ? "yes" : "no",
               BoolMember(replica, "reachable") ? "yes" : "no",
               Number(replica, "match_index")});
  });
  fmt::print("leader {}, term {}, {} entries committed\n{}\n",
             StringMember(status, "leader"), Number(status, "term"),
             Number(status, "commit_index"), table.ToString());
}

void PrintSteps(const object& status) {
  Table table({"trainer", "step", "samples", "waiting", "running", "recorded",
               "delivered"});
  bool any = false;
  ForEach(status, "steps", [&](const object& step) {
    any = true;
    table.Add({StringMember(step, "trainer"), StringMember(step, "step"),
               Number(step, "total"), Number(step, "waiting"),
               Number(step, "running"), Number(step, "recorded"),
               Number(step, "acknowledged")});
  });
  if (any) {
    fmt::print("{}\n", table.ToString());
  }
}

// What is not as it should be, and what the system does about it; empty if
// all is well.
std::string Trouble(const object& status, const object& targets) {
  if (!BoolMember(status, "quorum")) {
    return "no quorum of control instances: live requests go on, orders and "
           "samples wait; it heals when a majority can be reached";
  }
  std::string trouble;
  const auto note = [&trouble](const std::string& text) {
    trouble += (trouble.empty() ? "" : "; ") + text;
  };
  ForEach(status, "replicas", [&](const object& replica) {
    if (!BoolMember(replica, "reachable")) {
      note(fmt::format("{} is not reached: the others go on",
                       StringMember(replica, "id")));
    }
  });
  const uint64_t current = UnsignedMember(status, "manifest_version");
  ForEach(status, "instances", [&](const object& instance) {
    if (UnsignedMember(instance, "silent_ms") > kSilentMs) {
      note(fmt::format("{} is silent: its work is given to others",
                       StringMember(instance, "id")));
    } else if (UnsignedMember(instance, "manifest_version") < current) {
      note(fmt::format("{} fetches manifest {}", StringMember(instance, "id"),
                       current));
    }
  });
  ForEach(status, "steps", [&](const object& step) {
    if (UnsignedMember(step, "most_remakes") >= kBoundMissedRemakes) {
      note(fmt::format(
          "step {} of {} can't meet its bound at this pace: samples are made "
          "again; raise max_staleness or publish less often",
          StringMember(step, "step"), StringMember(step, "trainer")));
    }
  });
  ForEach(status, "pools", [&](const object& pool) {
    ForEach(targets, "targets", [&](const object& target) {
      if (StringMember(target, "service") == StringMember(pool, "pool") &&
          UnsignedMember(target, "version") < UnsignedMember(pool, "version")) {
        note(fmt::format("{} loads version {}", StringMember(target, "id"),
                         UnsignedMember(pool, "version")));
      }
    });
  });
  return trouble;
}

}  // namespace

int Status(const CommandOptions& options) {
  const OperatorAnswer targets =
      CallOperator(options.access, "GET", "/v1/targets");
  const OperatorAnswer status =
      CallOperator(options.access, "GET", "/v1/status");
  if (!targets.reached || !targets.body.is_object() || targets.status != 200) {
    return Unreachable(targets);
  }
  const bool known = status.reached && status.status == 200;
  object body = known ? status.body.as_object() : object{{"quorum", false}};
  const std::string trouble = Trouble(body, targets.body.as_object());
  if (options.format == Format::kJson) {
    body["targets"] = targets.body.as_object().at("targets");
    body["trouble"] = trouble;
    fmt::print("{}\n", boost::json::serialize(body));
  } else {
    PrintInstances(body);
    PrintTargets(targets.body.as_object(), body);
    PrintReplicas(body);
    PrintSteps(body);
    fmt::print("{}\n", trouble.empty() ? "all is well" : trouble);
  }
  return known ? kExitDone : kExitUnreachable;
}

int Drain(const CommandOptions& options) {
  const OperatorAnswer answer =
      CallOperator(options.access, "POST", "/v1/drain");
  if (!answer.reached || answer.status != 202) {
    return Unreachable(answer);
  }
  if (options.format == Format::kJson) {
    fmt::print("{}\n", answer.text);
  } else {
    fmt::print("the instance is draining; it ends when its requests have\n");
  }
  return kExitDone;
}

int Unreachable(const OperatorAnswer& answer) {
  if (answer.reached) {
    fmt::print(stderr, "refused ({}): {}\n", answer.status, answer.text);
    return answer.status == 503 ? kExitUnreachable : kExitRefused;
  }
  fmt::print(stderr, "{}\n",
             answer.uncertain ? "no answer came: the call may have taken effect"
                              : "no instance can be reached: nothing was done");
  return answer.uncertain ? kExitUncertain : kExitUnreachable;
}

}  // namespace limpethatch
