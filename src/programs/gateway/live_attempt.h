// The attempts of a live call: each runs in a coroutine of its own and leaves
// its result in the state of the call.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_ATTEMPT_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_ATTEMPT_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/request/live_attempts.h"
#include "limpethatch/request/target.h"
#include "limpethatch/request/usage/request_usage.h"
#include "programs/gateway/live_call_context.h"

namespace limpethatch {

// One attempt at a target, or at any target through another gateway.
struct LiveAttempt {
  std::string target;  // Empty if another gateway chooses it.
  std::shared_ptr<HttpCancelToken> cancel = std::make_shared<HttpCancelToken>();
};

// An answer that may be returned to the caller, and the target that gave it.
struct TargetAnswer {
  HttpResponse response;
  std::string target;
  uint64_t incarnation = 0;
};

// State of a request. It is shared with the coroutines of its attempts, which
// may outlive the coroutine of the request.
struct LiveCallState {
  LiveCallState(const boost::asio::any_io_executor& executor,
                RequestUsage request_usage)
      : wake_timer(executor), usage(std::move(request_usage)) {}

  boost::asio::steady_timer wake_timer;
  std::string attempt_id;  // Of the caller.
  std::string content;     // Digest of the request's content.
  RequestUsage usage;      // Its attempts have the indexes of `attempts`.
  std::string route;
  bool finished = false;
  bool is_stream = false;
  Duration hedge_after{};
  std::vector<LiveAttempt> attempts;
  std::optional<LiveAttempts> attempt_policy;
  std::optional<TargetAnswer> answer;
  // A 5xx answer, returned if no attempt succeeds.
  std::optional<TargetAnswer> target_failure;
};

// Sends `request` to the target, as an attempt of this role. The options need a
// deadline and a token.
void RunTargetAttempt(LiveCallContext& context,
                      const std::shared_ptr<LiveCallState>& state,
                      const RoutedTarget& target,
                      AttemptRole role,
                      HttpRequest request,
                      HttpCallOptions options);

// Sends `request` to another gateway, which sends it to a target.
void RunRelayedAttempt(LiveCallContext& context,
                       const std::shared_ptr<LiveCallState>& state,
                       const Endpoint& relay,
                       HttpRequest request,
                       HttpCallOptions options);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_ATTEMPT_H_
