// Lets operators' calls in by their key.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_OPERATOR_AUTHENTICATOR_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_OPERATOR_AUTHENTICATOR_H_

#include <optional>
#include <string>
#include <system_error>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/connection/rcu_cell.h"
#include "limpethatch/process/operator_keys.h"
#include "limpethatch/process/timer_service.h"

namespace limpethatch {

class OperatorAuthenticator {
 public:
  // An empty path leaves operators' calls open.
  explicit OperatorAuthenticator(std::string path);

  // Reads the keys; an error, after a log line, if the file is refused.
  std::error_code Load();
  // Reads them again each period from now on; a file that is refused leaves
  // the keys as they were.
  void StartReloading(TimerService& timers);

  // Health, readiness and metrics need no key.
  bool Allows(const HttpRequest& request) const;

 private:
  void Reload();

  const std::string path_;
  std::string
      last_problem_;  // That was logged last; empty if the file is right.
  RcuCell<std::optional<OperatorKeys>> keys_{
      std::make_unique<std::optional<OperatorKeys>>()};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_OPERATOR_AUTHENTICATOR_H_
