// Detects changes of a settings file.
#ifndef LIMPETHATCH_PROCESS_SETTINGS_WATCHER_H_
#define LIMPETHATCH_PROCESS_SETTINGS_WATCHER_H_

#include <filesystem>
#include <functional>
#include <string>
#include <utility>

#include "limpethatch/process/timer_service.h"

namespace limpethatch {

// Calls `changed` on a timer thread after each change of the file.
class SettingsWatcher {
 public:
  static constexpr Duration kPollPeriod = std::chrono::seconds(2);

  SettingsWatcher(TimerService& timers,
                  std::string path,
                  std::function<void()> changed)
      : path_(std::move(path)), changed_(std::move(changed)) {
    modified_at_ = ModificationTime();
    timers.Every(kPollPeriod, [this](TimePoint) { Check(); });
  }

 private:
  std::filesystem::file_time_type ModificationTime() const {
    std::error_code error;
    const auto modified_at = std::filesystem::last_write_time(path_, error);
    // A file that is being replaced is checked again in the next period.
    return error ? modified_at_ : modified_at;
  }

  void Check() {
    if (const auto modified_at = ModificationTime();
        modified_at != modified_at_) {
      modified_at_ = modified_at;
      changed_();
    }
  }

  const std::string path_;
  const std::function<void()> changed_;
  std::filesystem::file_time_type modified_at_{};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_SETTINGS_WATCHER_H_
