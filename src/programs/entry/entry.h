// One entry instance: its listeners, its parts, and its planned stop.
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

  // Binds every listener; the name of the one that failed is logged.
  std::error_code Start();

  // Serves until SIGTERM or SIGINT has been followed by a drain.
  void Run();

 private:
  struct Components;

  std::unique_ptr<Components> components_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_H_
