#include "limpethatch/connection/control_client.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

#include "envelope.pb.h"

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

ControlVerdict VerdictOf(const wire::ControlReply& reply) {
  switch (reply.outcome()) {
    case wire::ControlReply::OK:
      return ControlVerdict::kOk;
    case wire::ControlReply::NOT_LEADER:
      return ControlVerdict::kNotLeader;
    case wire::ControlReply::UNAVAILABLE:
      return ControlVerdict::kUnavailable;
    default:
      return ControlVerdict::kUncertain;
  }
}

// One call's mailbox. The timer is used on the call's own executor only.
struct Waiter {
  explicit Waiter(const boost::asio::any_io_executor& executor)
      : timer(executor) {}

  boost::asio::steady_timer timer;
  std::deque<std::pair<size_t, wire::ControlReply>> replies;  // By attempt.
  std::vector<uint64_t> ids;  // Of its attempts.
};

using Exchanged = ControlClient::Answer;

}  // namespace

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

  Exchanged Exchange(const Yield& yield,
                     wire::ControlRequest request,
                     TimePoint deadline,
                     Duration patience = {});
  void AddReplica(const Endpoint& replica);
  void OnReply(const wire::ControlReply& reply);
  void Hello(const Yield& yield, wire::Hello hello, TimePoint deadline);
  std::optional<ControlNews> news() const;
  uint64_t incarnation() const { return incarnation_; }
  void Renew(uint64_t gone);

 private:
  struct Replica {
    TimePoint last_reset = TimePoint::min();
    bool answer_missed = false;
  };
  struct Attempt {
    std::shared_ptr<Waiter> waiter;
    size_t number = 0;
    size_t replica = 0;
  };

  void Send(const ControlAction& action,
            const std::shared_ptr<Waiter>& waiter,
            wire::ControlRequest* request);
  void OnSilent(size_t replica);
  // Feeds what has come; returns the reply that says OK, if any.
  std::optional<wire::ControlReply> TakeReplies(Waiter& waiter,
                                                ControlRetry* retry);
  void Forget(const Waiter& waiter);
  std::optional<size_t> IndexOf(const std::string& address) const;

  Messenger& messenger_;
  const ControlClientOptions options_;
  std::atomic<uint64_t> incarnation_;

  mutable std::mutex mutex_;  // Guards what follows, and waiters' replies.
  std::vector<Endpoint> endpoints_;       // Only grows.
  std::vector<Replica> replicas_;         // One for each endpoint.
  std::map<uint64_t, Attempt> attempts_;  // By request id.
  uint64_t last_id_ = 0;
  size_t likely_leader_;
  std::optional<ControlNews> news_;
};

Exchanged ControlClient::Calls::Exchange(const Yield& yield,
                                         wire::ControlRequest request,
                                         TimePoint deadline,
                                         Duration patience) {
  request.set_from(options_.instance);
  request.set_incarnation(incarnation_);
  request.set_reply_to(options_.reply_to.ToString());
  auto waiter = std::make_shared<Waiter>(yield.get_executor());
  size_t first = 0;
  size_t known = 0;
  {
    std::scoped_lock lock(mutex_);
    first = likely_leader_;
    known = endpoints_.size();
  }
  ControlRetry retry({.replicas = known,
                      .first = first,
                      .deadline = deadline,
                      .try_timeout = options_.try_timeout + patience,
                      .round_pause = options_.round_pause});
  Exchanged exchanged;
  for (;;) {
    if (auto reply = TakeReplies(*waiter, &retry)) {
      exchanged.reply = std::move(*reply);
    }
    const ControlAction action = retry.Next(Clock::now());
    if (action.silent) {
      OnSilent(*action.silent);
    }
    if (action.kind == ControlAction::Kind::kFinish) {
      exchanged.certainty = action.certainty;
      break;
    }
    if (action.kind == ControlAction::Kind::kSend) {
      Send(action, waiter, &request);
      continue;
    }
    boost::system::error_code ignored;
    waiter->timer.expires_at(action.until);
    waiter->timer.async_wait(yield[ignored]);
  }
  Forget(*waiter);
  return exchanged;
}

void ControlClient::Calls::Send(const ControlAction& action,
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
}

void ControlClient::Calls::OnSilent(size_t index) {
  const TimePoint now = Clock::now();
  Endpoint endpoint;
  {
    std::scoped_lock lock(mutex_);
    endpoint = endpoints_[index];
    Replica& replica = replicas_[index];
    replica.answer_missed = true;
    if (likely_leader_ == index) {
      likely_leader_ = (index + 1) % replicas_.size();
    }
    // Calls that wait side by side reset the connection once.
    if (replica.last_reset != TimePoint::min() &&
        now - replica.last_reset < options_.try_timeout) {
      return;
    }
    replica.last_reset = now;
  }
  messenger_.Reset(endpoint);
}

std::optional<wire::ControlReply> ControlClient::Calls::TakeReplies(
    Waiter& waiter,
    ControlRetry* retry) {
  std::scoped_lock lock(mutex_);
  std::optional<wire::ControlReply> accepted;
  for (auto& [attempt, reply] : waiter.replies) {
    const ControlVerdict verdict = VerdictOf(reply);
    retry->OnReply(attempt, verdict, IndexOf(reply.leader()));
    if (verdict == ControlVerdict::kOk && !accepted) {
      accepted = std::move(reply);
    }
  }
  waiter.replies.clear();
  return accepted;
}

void ControlClient::Calls::Forget(const Waiter& waiter) {
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
    replicas_[attempt.replica].answer_missed = false;
    if (reply.outcome() == wire::ControlReply::OK) {
      likely_leader_ = attempt.replica;
    } else if (const auto leader = IndexOf(reply.leader())) {
      likely_leader_ = *leader;
    }
    waiter = attempt.waiter;
    waiter->replies.emplace_back(attempt.number, reply);
  }
  // The call runs on this executor: it is waiting when the cancel comes.
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

void ControlClient::Calls::Hello(const Yield& yield,
                                 wire::Hello hello,
                                 TimePoint deadline) {
  wire::ControlRequest request;
  hello.set_zone(options_.zone);
  *request.mutable_hello() = std::move(hello);
  const uint64_t said = incarnation_;
  const Exchanged exchanged = Exchange(yield, std::move(request), deadline);
  if (exchanged.certainty != ControlCertainty::kDone) {
    return;
  }
  const wire::HelloReply& reply = exchanged.reply.hello();
  if (reply.holder_gone()) {
    Renew(said);
  }
  std::scoped_lock lock(mutex_);
  // A late reply, or one of a deposed leader, does not set anything back.
  if (news_ && (reply.term() < news_->reply.term() ||
                reply.manifest_version() < news_->reply.manifest_version())) {
    return;
  }
  news_ = ControlNews{reply, Clock::now()};
}

void ControlClient::Calls::Renew(uint64_t gone) {
  if (incarnation_.compare_exchange_strong(gone, gone + 1)) {
    Log(LogLevel::kWarning, "declared_gone", {{"new_incarnation", gone + 1}});
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
  Exchanged exchanged = calls_->Exchange(yield, std::move(request), deadline);
  return {exchanged.certainty, std::move(*exchanged.reply.mutable_result())};
}

Result<wire::ManifestReply> ControlClient::FetchManifest(Yield yield,
                                                         uint64_t newer_than,
                                                         TimePoint deadline) {
  wire::ControlRequest request;
  request.mutable_manifest()->set_newer_than(newer_than);
  Exchanged exchanged = calls_->Exchange(yield, std::move(request), deadline);
  if (exchanged.certainty != ControlCertainty::kDone) {
    return std::make_error_code(std::errc::timed_out);
  }
  return std::move(*exchanged.reply.mutable_manifest());
}

Result<wire::StatusReply> ControlClient::Status(Yield yield,
                                                TimePoint deadline) {
  wire::ControlRequest request;
  request.mutable_status();
  Exchanged exchanged = calls_->Exchange(yield, std::move(request), deadline);
  if (exchanged.certainty != ControlCertainty::kDone) {
    return std::make_error_code(std::errc::timed_out);
  }
  return std::move(*exchanged.reply.mutable_status());
}

Result<wire::HistoryReply> ControlClient::History(Yield yield,
                                                  TimePoint deadline) {
  wire::ControlRequest request;
  request.mutable_history();
  Exchanged exchanged = calls_->Exchange(yield, std::move(request), deadline);
  if (exchanged.certainty != ControlCertainty::kDone) {
    return std::make_error_code(std::errc::timed_out);
  }
  return std::move(*exchanged.reply.mutable_history());
}

Result<wire::BurnReply> ControlClient::Burn(Yield yield, TimePoint deadline) {
  wire::ControlRequest request;
  request.mutable_burn();
  Exchanged exchanged = calls_->Exchange(yield, std::move(request), deadline);
  if (exchanged.certainty != ControlCertainty::kDone) {
    return std::make_error_code(std::errc::timed_out);
  }
  return std::move(*exchanged.reply.mutable_burn());
}

void ControlClient::Calls::AddReplica(const Endpoint& replica) {
  std::scoped_lock lock(mutex_);
  if (std::find(endpoints_.begin(), endpoints_.end(), replica) ==
      endpoints_.end()) {
    endpoints_.push_back(replica);
    replicas_.emplace_back();
  }
}

void ControlClient::AddReplica(const Endpoint& replica) {
  calls_->AddReplica(replica);
}

ControlClient::Answer ControlClient::Ask(Yield yield,
                                         wire::ControlRequest request,
                                         TimePoint deadline,
                                         Duration patience) {
  return calls_->Exchange(yield, std::move(request), deadline, patience);
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

void ControlClient::Renew(uint64_t gone) {
  calls_->Renew(gone);
}

std::optional<ControlNews> ControlClient::news() const {
  return calls_->news();
}

}  // namespace limpethatch
