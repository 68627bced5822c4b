// Knows which software version began a stream, so that a client that takes the
// stream up gets the rest from the same version.
#ifndef LIMPETHATCH_REQUEST_STREAM_ORIGINS_H_
#define LIMPETHATCH_REQUEST_STREAM_ORIGINS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace limpethatch {

// Not synchronised.
class StreamOrigins {
 public:
  // Streams beyond this number are forgotten, oldest first.
  static constexpr size_t kMaxStreams = 4096;

  // A target of `service` with this software version serves or has served.
  void OnTarget(const std::string& service, const std::string& version);
  // A target with this software version has begun to answer `attempt`.
  void OnBegun(const std::string& attempt, const std::string& version);

  // The software version that began the stream of `attempt`; nullopt if it is
  // unknown. If the service has had only one version, it must have been that.
  std::optional<std::string> Find(std::string_view service,
                                  std::string_view attempt) const;

 private:
  std::map<std::string, std::set<std::string>, std::less<>> versions_;
  std::map<std::string, std::string, std::less<>> begun_;  // By attempt.
  std::deque<std::string> order_;  // Of the attempts in begun_.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_STREAM_ORIGINS_H_
