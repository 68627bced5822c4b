// Remembers which software version began each stream of a client.
#ifndef LIMPETHATCH_REQUEST_STREAM_ORIGINS_H_
#define LIMPETHATCH_REQUEST_STREAM_ORIGINS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace limpethatch {

// Not synchronised.
class StreamOrigins {
 public:
  // Streams beyond this number are forgotten, oldest first.
  static constexpr size_t kMaxStreams = 16384;

  // A target with this software version has begun to answer `attempt`.
  void OnBegun(const std::string& attempt, const std::string& version);
  // The software version that began the stream; null if it is unknown.
  const std::string* Find(std::string_view attempt) const;

 private:
  std::map<std::string, std::string, std::less<>> begun_;  // By attempt.
  std::deque<std::string> order_;  // Of the attempts in begun_.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_STREAM_ORIGINS_H_
