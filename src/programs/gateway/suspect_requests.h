// Live requests that were running when targets crashed. Tells control which
// ones were, and learns from it which ones must not run again, at any gateway.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_SUSPECT_REQUESTS_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_SUSPECT_REQUESTS_H_

#include <map>
#include <string>

#include "fleet.pb.h"
#include "limpethatch/connection/control_client.h"
#include "limpethatch/connection/crash_detector.h"
#include "limpethatch/request/target.h"

namespace limpethatch {

// Requests are named by the digest of their content. Not synchronised; used on
// the gateway's thread only.
class SuspectRequests {
 public:
  SuspectRequests(boost::asio::io_context& io,
                  ControlClient& control_client,
                  const TargetTable& targets);

  // Replaces the suspects that control knows.
  void OnNews(const wire::SuspectRequests& suspects);
  void OnTarget(const wire::TargetRecord& target) {
    detector_.OnAnnounced(target);
  }
  bool IsRefused(const std::string& content) const;

  // The target's connection was lost before its answer was complete.
  void OnConnectionLost(const std::string& content, const Target& target);
  // The target did not answer for as long as there was time.
  void OnNoAnswer(const std::string& content, const Target& target);
  // The target answered completely, so the request did not crash it.
  void OnAnswered(const std::string& content);

 private:
  void SendEvidence(wire::CrashEvidence evidence);

  boost::asio::io_context& io_;
  ControlClient& control_client_;
  std::map<std::string, bool> suspects_;  // Whether each is refused.
  CrashDetector detector_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_SUSPECT_REQUESTS_H_
