// Structured logging: one JSON object per line, on standard output for services
// and on standard error for tools that print results. Logging never blocks: if
// the output is not writable, a bounded number of bytes is buffered, and
// further lines are dropped and counted.
#ifndef LIMPETHATCH_PROCESS_LOG_H_
#define LIMPETHATCH_PROCESS_LOG_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace limpethatch {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// A typed field of a log line. Text is escaped by the constructor.
class LogField {
 public:
  LogField(std::string_view key, std::string_view text);
  LogField(std::string_view key, const char* text);
  LogField(std::string_view key, bool flag);
  LogField(std::string_view key, double number);
  template <std::integral T>
  LogField(std::string_view key, T number)
      : key_(key), json_(std::to_string(number)) {}
  // The JSON text is null if there is no value.
  LogField(std::string_view key, std::optional<std::chrono::milliseconds> time);

  std::string_view key() const { return key_; }
  // The value as JSON text.
  std::string_view json() const { return json_; }

 private:
  std::string key_;
  std::string json_;
};

enum class LogOutput { kStandardOutput, kStandardError };

// Sets the program and instance names of all later lines, the minimum level and
// the output.
// Before the first call, lines go to standard error.
void ConfigureLog(std::string_view program,
                  std::string_view instance,
                  LogLevel min_level,
                  LogOutput output = LogOutput::kStandardError);

// Writes one line. Each event name is limited to kMaxLinesPerSecond lines per
// second. The next line of a limited event has the number of omitted lines in
// the field "left_out".
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

// Parses "debug", "info", "warning" or "error". Returns false for any other
// text.
bool ParseLogLevel(std::string_view text, LogLevel* level);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_LOG_H_
