// The commands of limpethatchctl. Each returns the process exit code.
#ifndef LIMPETHATCH_PROGRAMS_CTL_COMMANDS_H_
#define LIMPETHATCH_PROGRAMS_CTL_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "programs/ctl/operator_call.h"

namespace limpethatch {

enum class Format { kText, kJson };

struct CommandOptions {
  OperatorAccess access;
  Format format = Format::kText;
  std::string argument;  // The file or id after the command.
  std::optional<uint64_t> expect_version;
  std::string change_id;
  std::string author;
  bool allow_disruption = false;
  std::string html;  // Path of the HTML report; empty for none.
  uint64_t body_bytes = 0;
  std::string logs;  // Directory with the logs of all processes.
};

// Validates a manifest file without calling an instance.
int Check(const CommandOptions& options);
// Compares a manifest file with the manifest in force.
int Diff(const CommandOptions& options);
// Submits a manifest file as the next version.
int Apply(const CommandOptions& options);
// Lists accepted changes, newest first.
int History(const CommandOptions& options);
// Shows instances, targets, steps and replicas, and any problems.
int Status(const CommandOptions& options);
// Shows error budgets and their burn rates.
int Burn(const CommandOptions& options);
// Starts a graceful shutdown of the instance that is called.
int Drain(const CommandOptions& options);
// Shows what happened to a request, job, sample or configuration, from logs.
int ExplainId(const CommandOptions& options);
// Shows where a gateway would send a request now, and why. The instances are
// metrics listeners of gateways.
int Where(const CommandOptions& options);
// Prints the completion script for bash.
int Completion(const CommandOptions& options);

// Reports a call that was refused or got no response, and returns the exit
// code for it.
int ReportFailedCall(const OperatorResponse& response);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CTL_COMMANDS_H_
