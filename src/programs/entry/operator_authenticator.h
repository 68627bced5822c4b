// Checks the keys of operators' calls.
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
  // If `path` is empty, operators' calls need no key.
  explicit OperatorAuthenticator(std::string path);

  // Reads the key file. Returns an error and logs the problem if the file is
  // invalid.
  std::error_code Load();
  // Starts to reload the file periodically. An invalid file leaves the keys
  // unchanged.
  void StartReloading(TimerService& timers);

  // Health, readiness and metrics need no key.
  bool Allows(const HttpRequest& request) const;

 private:
  void Reload();

  const std::string path_;
  std::string last_problem_;  // As logged; empty if the file is valid.
  RcuCell<std::optional<OperatorKeys>> keys_{
      std::make_unique<std::optional<OperatorKeys>>()};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_OPERATOR_AUTHENTICATOR_H_
