// An entry instance: its listeners, its components and its drain.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_H_

#include <memory>
#include <system_error>

#include "programs/entry/entry_settings.h"

namespace limpethatch {

class Entry {
 public:
  explicit Entry(EntrySettings settings);
  ~Entry();

  // Binds all listeners and starts the timers. Logs what failed.
  std::error_code Start();

  // Serves until a drain has ended, which SIGTERM, SIGINT or an operator's call
  // starts.
  void Run();

 private:
  struct Components;

  std::unique_ptr<Components> components_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_H_
