// Notices that a settings file was written anew.
#ifndef LIMPETHATCH_PROCESS_SETTINGS_WATCH_H_
#define LIMPETHATCH_PROCESS_SETTINGS_WATCH_H_

#include <filesystem>
#include <functional>
#include <string>
#include <utility>

#include "limpethatch/process/timer_service.h"

namespace limpethatch {

// Calls `changed` on the timers' threads after each change of the file.
class SettingsWatch {
 public:
  static constexpr Duration kPeriod = std::chrono::seconds(2);

  SettingsWatch(TimerService& timers,
                std::string path,
                std::function<void()> changed)
      : path_(std::move(path)), changed_(std::move(changed)) {
    written_ = WrittenAt();
    timers.Every(kPeriod, [this](TimePoint) { Check(); });
  }

 private:
  std::filesystem::file_time_type WrittenAt() const {
    std::error_code error;
    const auto written = std::filesystem::last_write_time(path_, error);
    // A file that is being replaced is looked at again with the next check.
    return error ? written_ : written;
  }

  void Check() {
    if (const auto written = WrittenAt(); written != written_) {
      written_ = written;
      changed_();
    }
  }

  const std::string path_;
  const std::function<void()> changed_;
  std::filesystem::file_time_type written_{};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_SETTINGS_WATCH_H_
