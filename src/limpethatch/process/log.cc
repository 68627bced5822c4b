#include "limpethatch/process/log.h"

#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/json/serialize.hpp>
#include <cerrno>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "limpethatch/process/clock.h"

namespace limpethatch {
namespace {

// Limit per event name. A dozen events at this rate take 0.2% of a core
// (bench-log_cost).
constexpr int kMaxLinesPerSecond = 50;

std::string Quote(std::string_view text) {
  return boost::json::serialize(boost::json::string_view(text));
}

// Rate limit state of one event name.
struct EventRate {
  TimePoint second_start;
  int written = 0;
  int64_t left_out = 0;
};

// Non-blocking writer to a file descriptor. Lines that cannot be written at
// once are buffered. With a full disk or pipe, lines are dropped rather than
// delaying the caller.
class Output {
 public:
  void SetDescriptor(int descriptor) {
    descriptor_ = descriptor;
    mode_checked_ = false;
  }

  void Write(std::string line) {
    if (!mode_checked_) {
      MakeNonBlocking();
    }
    if (buffer_.size() + line.size() > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    if (dropped_ > 0) {
      buffer_ += fmt::format(
          R"({{"level":"warning","event":"log_dropped","lines":{}}})"
          "\n",
          std::exchange(dropped_, 0));
    }
    buffer_ += line;
    const ssize_t written =
        ::write(descriptor_, buffer_.data(), buffer_.size());
    if (written > 0) {
      buffer_.erase(0, static_cast<size_t>(written));
    } else if (written < 0 && errno != EAGAIN && errno != EINTR) {
      buffer_.clear();
      ++dropped_;
    }
  }

 private:
  // Enough for a few hundred lines.
  static constexpr size_t kMaxBufferedBytes = 64UL * 1024;

  // Makes pipes, sockets and terminals non-blocking. Regular files do not need
  // it.
  void MakeNonBlocking() {
    mode_checked_ = true;
    struct stat status {};
    if (::fstat(descriptor_, &status) == 0 && !S_ISREG(status.st_mode)) {
      const int flags = ::fcntl(descriptor_, F_GETFL);
      ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
  }

  int descriptor_ = STDERR_FILENO;
  bool mode_checked_ = false;
  std::string buffer_;
  int64_t dropped_ = 0;
};

struct LogState {
  std::mutex mutex;
  Output output;
  std::string prefix;
  LogLevel min_level = LogLevel::kInfo;
  std::map<std::string, EventRate, std::less<>> rates;
};

LogState& State() {
  static LogState state;
  return state;
}

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

// Returns true if the line may be written and sets *left_out to the number of
// lines of this event that were omitted before it.
bool CheckRateLimit(LogState& state,
                    std::string_view event,
                    int64_t* left_out) {
  auto found = state.rates.find(event);
  if (found == state.rates.end()) {
    found = state.rates.emplace(std::string(event), EventRate{}).first;
  }
  EventRate& rate = found->second;
  const TimePoint now = Clock::now();
  if (now - rate.second_start >= std::chrono::seconds(1)) {
    rate.second_start = now;
    rate.written = 0;
  }
  if (rate.written >= kMaxLinesPerSecond) {
    ++rate.left_out;
    return false;
  }
  ++rate.written;
  *left_out = std::exchange(rate.left_out, 0);
  return true;
}

}  // namespace

LogField::LogField(std::string_view key, std::string_view text)
    : key_(key), json_(Quote(text)) {}

LogField::LogField(std::string_view key, const char* text)
    : LogField(key, std::string_view(text)) {}

LogField::LogField(std::string_view key, bool flag)
    : key_(key), json_(flag ? "true" : "false") {}

LogField::LogField(std::string_view key, double number)
    : key_(key), json_(fmt::format("{:.6g}", number)) {}

LogField::LogField(std::string_view key,
                   std::optional<std::chrono::milliseconds> time)
    : key_(key), json_(time ? std::to_string(time->count()) : "null") {}

void ConfigureLog(std::string_view program,
                  std::string_view instance,
                  LogLevel min_level,
                  LogOutput output) {
  LogState& state = State();
  std::scoped_lock lock(state.mutex);
  state.prefix = fmt::format(R"("program":{},"instance":{},)", Quote(program),
                             Quote(instance));
  state.min_level = min_level;
  state.output.SetDescriptor(
      output == LogOutput::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO);
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  LogState& state = State();
  std::scoped_lock lock(state.mutex);
  if (level < state.min_level) {
    return;
  }
  int64_t left_out = 0;
  if (!CheckRateLimit(state, event, &left_out)) {
    return;
  }
  const auto wall = std::chrono::system_clock::now();
  const auto second = std::chrono::floor<std::chrono::seconds>(wall);
  const auto fraction =
      std::chrono::duration_cast<std::chrono::milliseconds>(wall - second);
  std::string line = fmt::format(
      R"({{"time":"{:%FT%T}.{:03}Z","level":"{}",{}"event":{})", second,
      fraction.count(), LevelName(level), state.prefix, Quote(event));
  for (const LogField& field : fields) {
    line += fmt::format(",{}:{}", Quote(field.key()), field.json());
  }
  if (left_out > 0) {
    line += fmt::format(R"(,"left_out":{})", left_out);
  }
  line += "}\n";
  state.output.Write(std::move(line));
}

bool ParseLogLevel(std::string_view text, LogLevel* level) {
  for (LogLevel candidate : {LogLevel::kDebug, LogLevel::kInfo,
                             LogLevel::kWarning, LogLevel::kError}) {
    if (text == LevelName(candidate)) {
      *level = candidate;
      return true;
    }
  }
  return false;
}

}  // namespace limpethatch
