#include "limpethatch/connection/control_client.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <numeric>
#include <random>
#include <utility>

#include "envelope.pb.h"

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

ControlReplyOutcome ToReplyOutcome(const wire::ControlReply& reply) {
  switch (reply.outcome()) {
    case wire::ControlReply::OK:
      return ControlReplyOutcome::kOk;
    case wire::ControlReply::NOT_LEADER:
      return ControlReplyOutcome::kNotLeader;
    case wire::ControlReply::UNAVAILABLE:
      return ControlReplyOutcome::kUnavailable;
    default:
      return ControlReplyOutcome::kUncertain;
  }
}

// Receives the replies to one call. The timer, which wakes the call up, is used
// on the call's executor only.
struct Waiter {
  explicit Waiter(const boost::asio::any_io_executor& executor)
      : timer(executor) {}

  boost::asio::steady_timer timer;
  // Unprocessed replies, each with the number of its attempt.
  std::deque<std::pair<size_t, wire::ControlReply>> replies;
  std::vector<uint64_t> ids;  // Request ids of the call's attempts.
};

using CallAnswer = ControlClient::Answer;

std::string_view LogName(std::optional<ControlReplyOutcome> outcome) {
  if (!outcome) {
    return "no_answer";
  }
  switch (*outcome) {
    case ControlReplyOutcome::kOk:
      return "ok";
    case ControlReplyOutcome::kNotLeader:
      return "not_leader";
    case ControlReplyOutcome::kUnavailable:
      return "unavailable";
    case ControlReplyOutcome::kUncertain:
      break;
  }
  return "uncertain";
}

// A replica counts as responsive for this time after it was heard from. Covers
// several signs of life of control instances.
constexpr Duration kResponsiveTime = std::chrono::seconds(1);

// A request may arrive at this rate at least before its attempt counts as
// unanswered: an end of the attempt ends the transfer.
constexpr size_t kMinBytesPerSecond = 2UL * 1024 * 1024;

Duration TransferTime(size_t bytes) {
  return Duration(std::chrono::seconds(1)) * bytes / kMinBytesPerSecond;
}

// A number with room for the requests of one process above it.
uint64_t RandomIdBase() {
  constexpr int kRequestBits = 31;
  std::random_device device;
  return uint64_t{device()} << kRequestBits;
}

}  // namespace

std::string Describe(const std::vector<ControlAttempt>& attempts) {
  std::string text;
  for (const auto& [replica, outcome] : attempts) {
    text += text.empty() ? "" : ", ";
    text += replica.ToString();
    text += ' ';
    text += LogName(outcome);
  }
  return text;
}

class ControlClient::Calls {
 public:
  Calls(Messenger& messenger, ControlClientOptions options)
      : messenger_(messenger),
        options_(std::move(options)),
        incarnation_(options_.incarnation),
        endpoints_(options_.replicas),
        replicas_(options_.replicas.size()),
        likely_leader_(std::hash<std::string>()(options_.instance) %
                       options_.replicas.size()) {}

  CallAnswer Exchange(const Yield& yield,
                      wire::ControlRequest request,
                      TimePoint deadline,
                      Duration extra_timeout = {});
  void AddReplica(const Endpoint& replica);
  void RecordContact(const Endpoint& replica, TimePoint now);
  void OnReply(const wire::ControlReply& reply);
  void Hello(const Yield& yield, wire::Hello hello, TimePoint deadline);
  std::optional<ControlNews> news() const;
  uint64_t incarnation() const { return incarnation_; }
  void RenewIncarnation(uint64_t gone_incarnation);

 private:
  struct Replica {
    TimePoint last_reset = TimePoint::min();
    TimePoint last_heard_at = TimePoint::min();
    // Nothing was heard from it since an attempt that timed out.
    bool answer_missed = false;

    void OnHeard(TimePoint now) {
      last_heard_at = now;
      answer_missed = false;
    }
  };
  struct Attempt {
    std::shared_ptr<Waiter> waiter;
    size_t number = 0;
    size_t replica = 0;
  };

  // Returns the endpoint of the replica.
  Endpoint Send(const ControlAction& action,
                const std::shared_ptr<Waiter>& waiter,
                wire::ControlRequest* request);
  // `sent_at`: when the attempt that timed out was sent.
  void OnAttemptTimeout(size_t index, TimePoint sent_at);
  // Passes the received replies to `retry` and records their outcomes. Returns
  // the first successful one, if any.
  std::optional<wire::ControlReply> ProcessReplies(
      Waiter& waiter,
      ControlRetry* retry,
      std::vector<ControlAttempt>* attempts);
  void RemoveAttempts(const Waiter& waiter);
  std::optional<size_t> IndexOf(const std::string& address) const;
  // Sets the order in which the replicas are asked.
  void SetOrder(TimePoint now, ControlRetryOptions* options) const;
  std::optional<size_t> KnownLeader();

  Messenger& messenger_;
  const ControlClientOptions options_;
  std::atomic<uint64_t> incarnation_;

  // Guards the members below, and the `replies` and `ids` of all waiters.
  mutable std::mutex mutex_;
  std::vector<Endpoint> endpoints_;       // Only grows.
  std::vector<Replica> replicas_;         // One for each endpoint.
  std::map<uint64_t, Attempt> attempts_;  // By request id.
  // Starts at a random number, so that a late reply to an earlier process at
  // the same endpoint matches no request of this one.
  uint64_t last_id_ = RandomIdBase();
  size_t likely_leader_;
  std::optional<ControlNews> news_;
};

CallAnswer ControlClient::Calls::Exchange(const Yield& yield,
                                          wire::ControlRequest request,
                                          TimePoint deadline,
                                          Duration extra_timeout) {
  request.set_from(options_.instance);
  request.set_incarnation(incarnation_);
  request.set_reply_to(options_.reply_to.ToString());
  auto waiter = std::make_shared<Waiter>(yield.get_executor());
  const Duration attempt_timeout = options_.attempt_timeout + extra_timeout +
                                   TransferTime(request.ByteSizeLong());
  ControlRetryOptions retry_options{.deadline = deadline,
                                    .attempt_timeout = attempt_timeout,
                                    .round_pause = options_.round_pause};
  SetOrder(Clock::now(), &retry_options);
  ControlRetry retry(std::move(retry_options));
  CallAnswer answer;
  for (;;) {
    if (auto reply = ProcessReplies(*waiter, &retry, &answer.attempts)) {
      answer.reply = std::move(*reply);
    }
    const ControlAction action = retry.Next(Clock::now(), KnownLeader());
    if (action.timed_out_replica) {
      OnAttemptTimeout(*action.timed_out_replica,
                       Clock::now() - attempt_timeout);
    }
    if (action.kind == ControlAction::Kind::kFinish) {
      answer.certainty = action.certainty;
      break;
    }
    if (action.kind == ControlAction::Kind::kSend) {
      answer.attempts.push_back({Send(action, waiter, &request), {}});
      continue;
    }
    boost::system::error_code ignored;
    waiter->timer.expires_at(action.until);
    waiter->timer.async_wait(yield[ignored]);
  }
  RemoveAttempts(*waiter);
  return answer;
}

Endpoint ControlClient::Calls::Send(const ControlAction& action,
                                    const std::shared_ptr<Waiter>& waiter,
                                    wire::ControlRequest* request) {
  Endpoint endpoint;
  {
    std::scoped_lock lock(mutex_);
    endpoint = endpoints_[action.replica];
    request->set_id(++last_id_);
    attempts_[last_id_] = {waiter, action.attempt, action.replica};
    waiter->ids.push_back(last_id_);
    request->set_oldest_open(attempts_.begin()->first);
    request->set_answer_missed(replicas_[action.replica].answer_missed);
  }
  wire::Envelope envelope;
  *envelope.mutable_request() = *request;
  messenger_.Send(endpoint, envelope.SerializeAsString());
  return endpoint;
}

void ControlClient::Calls::OnAttemptTimeout(size_t index, TimePoint sent_at) {
  const TimePoint now = Clock::now();
  Endpoint endpoint;
  {
    std::scoped_lock lock(mutex_);
    endpoint = endpoints_[index];
    Replica& replica = replicas_[index];
    // What it sends arrives. A reset would lose what is on its way.
    replica.answer_missed |= replica.last_heard_at < sent_at;
    // Concurrent calls to the same replica time out together; only the first
    // one resets the connection.
    if (replica.last_reset != TimePoint::min() &&
        now - replica.last_reset < options_.attempt_timeout) {
      return;
    }
    replica.last_reset = now;
  }
  messenger_.Reset(endpoint, sent_at);
}

std::optional<wire::ControlReply> ControlClient::Calls::ProcessReplies(
    Waiter& waiter,
    ControlRetry* retry,
    std::vector<ControlAttempt>* attempts) {
  std::scoped_lock lock(mutex_);
  std::optional<wire::ControlReply> accepted;
  for (auto& [attempt, reply] : waiter.replies) {
    const ControlReplyOutcome reply_outcome = ToReplyOutcome(reply);
    (*attempts)[attempt].outcome = reply_outcome;
    retry->OnReply(attempt, reply_outcome, IndexOf(reply.leader()));
    if (reply_outcome == ControlReplyOutcome::kOk && !accepted) {
      accepted = std::move(reply);
    }
  }
  waiter.replies.clear();
  return accepted;
}

void ControlClient::Calls::RemoveAttempts(const Waiter& waiter) {
  std::scoped_lock lock(mutex_);
  for (const uint64_t id : waiter.ids) {
    attempts_.erase(id);
  }
}

void ControlClient::Calls::OnReply(const wire::ControlReply& reply) {
  std::shared_ptr<Waiter> waiter;
  if (Endpoint leader; ParseEndpoint(reply.leader(), &leader)) {
    AddReplica(leader);
  }
  {
    std::scoped_lock lock(mutex_);
    const auto found = attempts_.find(reply.id());
    if (found == attempts_.end()) {
      return;
    }
    const Attempt& attempt = found->second;
    replicas_[attempt.replica].OnHeard(Clock::now());
    if (reply.outcome() == wire::ControlReply::OK) {
      likely_leader_ = attempt.replica;
    } else if (const auto leader = IndexOf(reply.leader())) {
      likely_leader_ = *leader;
    }
    waiter = attempt.waiter;
    waiter->replies.emplace_back(attempt.number, reply);
  }
  // Posted to the call's own executor, so that the call is suspended on the
  // timer when the cancellation runs.
  boost::asio::post(waiter->timer.get_executor(),
                    [waiter] { waiter->timer.cancel(); });
}

std::optional<size_t> ControlClient::Calls::IndexOf(
    const std::string& address) const {
  for (size_t i = 0; i < endpoints_.size(); ++i) {
    if (!address.empty() && endpoints_[i].ToString() == address) {
      return i;
    }
  }
  return std::nullopt;
}

void ControlClient::Calls::SetOrder(TimePoint now,
                                    ControlRetryOptions* options) const {
  std::scoped_lock lock(mutex_);
  const auto is_responsive = [&](size_t index) {
    return !replicas_[index].answer_missed &&
           replicas_[index].last_heard_at > now - kResponsiveTime;
  };
  std::vector<size_t>& order = options->order;
  order.resize(endpoints_.size());
  std::iota(order.begin(), order.end(), 0);
  std::rotate(order.begin(),
              order.begin() + static_cast<std::ptrdiff_t>(likely_leader_),
              order.end());
  std::stable_partition(order.begin(), order.end(), [&](size_t index) {
    return !replicas_[index].answer_missed;
  });
  const auto others =
      std::stable_partition(order.begin(), order.end(), is_responsive);
  options->responsive = static_cast<size_t>(others - order.begin());
}

std::optional<size_t> ControlClient::Calls::KnownLeader() {
  const std::optional<Endpoint> leader =
      options_.known_leader ? options_.known_leader() : std::nullopt;
  if (!leader) {
    return std::nullopt;
  }
  AddReplica(*leader);
  std::scoped_lock lock(mutex_);
  return IndexOf(leader->ToString());
}

void ControlClient::Calls::Hello(const Yield& yield,
                                 wire::Hello hello,
                                 TimePoint deadline) {
  wire::ControlRequest request;
  hello.set_zone(options_.zone);
  *request.mutable_hello() = std::move(hello);
  const uint64_t reported_incarnation = incarnation_;
  const CallAnswer answer = Exchange(yield, std::move(request), deadline);
  if (answer.certainty != ControlCertainty::kDone) {
    return;
  }
  const wire::HelloReply& reply = answer.reply.hello();
  if (reply.holder_gone()) {
    RenewIncarnation(reported_incarnation);
  }
  std::scoped_lock lock(mutex_);
  // Ignores late replies and those of a deposed leader: the term and the
  // manifest version never go back.
  if (news_ && (reply.term() < news_->reply.term() ||
                reply.manifest_version() < news_->reply.manifest_version())) {
    return;
  }
  news_ = ControlNews{reply, Clock::now()};
}

void ControlClient::Calls::RenewIncarnation(uint64_t gone_incarnation) {
  if (incarnation_.compare_exchange_strong(gone_incarnation,
                                           gone_incarnation + 1)) {
    Log(LogLevel::kWarning, "incarnation_declared_gone",
        {{"new_incarnation", gone_incarnation + 1}});
  }
}

std::optional<ControlNews> ControlClient::Calls::news() const {
  std::scoped_lock lock(mutex_);
  return news_;
}

ControlClient::ControlClient(boost::asio::io_context& io,
                             Messenger& messenger,
                             ControlClientOptions options)
    : io_(io), hello_period_(options.hello_period) {
  calls_ = std::make_shared<Calls>(messenger, std::move(options));
}

ControlClient::~ControlClient() = default;

ControlOutcome ControlClient::Call(Yield yield,
                                   const wire::Command& command,
                                   TimePoint deadline) {
  wire::ControlRequest request;
  *request.mutable_command() = command;
  CallAnswer answer = calls_->Exchange(yield, std::move(request), deadline);
  return {answer.certainty, std::move(*answer.reply.mutable_result())};
}

Result<wire::ManifestReply> ControlClient::FetchManifest(Yield yield,
                                                         uint64_t newer_than,
                                                         TimePoint deadline) {
  wire::ControlRequest request;
  request.mutable_manifest()->set_newer_than(newer_than);
  CallAnswer answer = calls_->Exchange(yield, std::move(request), deadline);
  if (answer.certainty != ControlCertainty::kDone) {
    return std::make_error_code(std::errc::timed_out);
  }
  return std::move(*answer.reply.mutable_manifest());
}

Result<wire::StatusReply> ControlClient::Status(Yield yield,
                                                TimePoint deadline) {
  wire::ControlRequest request;
  request.mutable_status();
  CallAnswer answer = calls_->Exchange(yield, std::move(request), deadline);
  if (answer.certainty != ControlCertainty::kDone) {
    return std::make_error_code(std::errc::timed_out);
  }
  return std::move(*answer.reply.mutable_status());
}

Result<wire::HistoryReply> ControlClient::History(Yield yield,
                                                  TimePoint deadline) {
  wire::ControlRequest request;
  request.mutable_history();
  CallAnswer answer = calls_->Exchange(yield, std::move(request), deadline);
  if (answer.certainty != ControlCertainty::kDone) {
    return std::make_error_code(std::errc::timed_out);
  }
  return std::move(*answer.reply.mutable_history());
}

Result<wire::BurnReply> ControlClient::Burn(Yield yield, TimePoint deadline) {
  wire::ControlRequest request;
  request.mutable_burn();
  CallAnswer answer = calls_->Exchange(yield, std::move(request), deadline);
  if (answer.certainty != ControlCertainty::kDone) {
    return std::make_error_code(std::errc::timed_out);
  }
  return std::move(*answer.reply.mutable_burn());
}

void ControlClient::Calls::AddReplica(const Endpoint& replica) {
  std::scoped_lock lock(mutex_);
  if (std::find(endpoints_.begin(), endpoints_.end(), replica) ==
      endpoints_.end()) {
    endpoints_.push_back(replica);
    replicas_.emplace_back();
  }
}

void ControlClient::Calls::RecordContact(const Endpoint& replica,
                                         TimePoint now) {
  std::scoped_lock lock(mutex_);
  const auto found = std::find(endpoints_.begin(), endpoints_.end(), replica);
  if (found != endpoints_.end()) {
    replicas_[static_cast<size_t>(found - endpoints_.begin())].OnHeard(now);
  }
}

void ControlClient::AddReplica(const Endpoint& replica) {
  calls_->AddReplica(replica);
}

void ControlClient::RecordContact(const Endpoint& replica, TimePoint now) {
  calls_->RecordContact(replica, now);
}

ControlClient::Answer ControlClient::SendRequest(Yield yield,
                                                 wire::ControlRequest request,
                                                 TimePoint deadline,
                                                 Duration extra_timeout) {
  return calls_->Exchange(yield, std::move(request), deadline, extra_timeout);
}

void ControlClient::OnReply(const wire::ControlReply& reply) {
  calls_->OnReply(reply);
}

void ControlClient::StartHello(TimerService& timers,
                               std::function<void(wire::Hello& hello)> fill) {
  timers.Every(
      hello_period_, [calls = calls_, io = &io_, period = hello_period_,
                      fill = std::move(fill)](TimePoint now) {
        wire::Hello hello;
        fill(hello);
        Spawn(*io, [calls, hello = std::move(hello), deadline = now + period](
                       Yield yield) { calls->Hello(yield, hello, deadline); });
      });
}

uint64_t ControlClient::incarnation() const {
  return calls_->incarnation();
}

void ControlClient::RenewIncarnation(uint64_t gone_incarnation) {
  calls_->RenewIncarnation(gone_incarnation);
}

std::optional<ControlNews> ControlClient::news() const {
  return calls_->news();
}

}  // namespace limpethatch
