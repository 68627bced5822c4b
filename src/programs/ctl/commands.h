// The commands of limpethatchctl. Each returns the exit code.
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
  std::string argument;  // A file or an instance.
  std::optional<uint64_t> expect_version;
  std::string change_id;
  std::string author;
  bool allow_disruption = false;
  std::string html;  // Where a page is written; empty for none.
  std::string logs;  // A folder with the logs of all processes.
};

// Checks a manifest file without any instance.
int Check(const CommandOptions& options);
// Compares a manifest file with the one in force.
int Diff(const CommandOptions& options);
// Makes a manifest file the next version.
int Apply(const CommandOptions& options);
// Accepted changes, newest first.
int History(const CommandOptions& options);
// Instances, targets, steps and replicas, and whether all is well.
int Status(const CommandOptions& options);
// Error budgets and how fast they burn.
int Burn(const CommandOptions& options);
// Starts a planned stop of the instance that is called.
int Drain(const CommandOptions& options);
// What became of the request, job, sample or configuration that is named.
int ExplainId(const CommandOptions& options);
// Prints the completion script for bash.
int Completion(const CommandOptions& options);

// Prints what an unanswered call means and returns its exit code.
int ReportFailedCall(const OperatorResponse& response);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CTL_COMMANDS_H_
