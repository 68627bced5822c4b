#include "limpethatch/process/consensus_types.h"

namespace limpethatch {
namespace {

class ConsensusCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "consensus"; }
  std::string message(int value) const override {
    switch (static_cast<ConsensusError>(value)) {
      case ConsensusError::kNotLeader:
        return "this replica does not lead";
      case ConsensusError::kNoLease:
        return "the leader has no lease";
      case ConsensusError::kMembershipChangePending:
        return "a membership change is under way";
      case ConsensusError::kCommandTooLarge:
        return "the command is too large";
      case ConsensusError::kUnknownMember:
        return "no such member";
    }
    return "unknown consensus error";
  }
};

}  // namespace

std::error_code make_error_code(ConsensusError error) {
  static const ConsensusCategory category;
  return {static_cast<int>(error), category};
}

}  // namespace limpethatch
