#include "limpethatch/request/sharing/fair_queue.h"

#include <algorithm>
#include <utility>

namespace limpethatch {
namespace {

// Refused clients return one after the other within this time, and more of them
// at random within as much again.
constexpr Duration kOrderedReturns = std::chrono::seconds(5);
constexpr double kMinWeight = 1e-6;
constexpr size_t kMinAccountsToPrune = 64;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(duration) * factor);
}

}  // namespace

FairQueue::FairQueue(uint32_t slots) : slots_(std::max<uint32_t>(slots, 1)) {}

void FairQueue::SetSlots(uint32_t slots) {
  slots_ = std::max<uint32_t>(slots, 1);
}

std::optional<FairRefusal> FairQueue::Add(FairRequest request,
                                          double random,
                                          TimePoint now) {
  request.weight = std::max(request.weight, kMinWeight);
  request.work = std::max(request.work, Duration::zero());
  const Duration wait = ExpectedWait(request, now);
  if (now + wait + request.work > request.deadline) {
    return Refuse(request, request.deadline - now, wait, random, now);
  }
  Class& priority_class = classes_[request.priority];
  Prune(priority_class);
  Account& account = priority_class.accounts[request.organisation];
  account.weight = request.weight;
  if (account.waiting.empty()) {
    // An organisation saves no share while it has no requests.
    account.start = std::max(priority_class.virtual_time, account.finish);
    priority_class.backlog.emplace(account.start, request.organisation);
  }
  account.work += request.work;
  priority_class.work += request.work;
  waiting_[request.id] = {request.priority, request.organisation,
                          request.deadline, now};
  latest_starts_.emplace(request.deadline - request.work, request.id);
  const std::pair key(request.deadline, request.id);
  account.waiting.emplace(key, std::move(request));
  return std::nullopt;
}

std::vector<FairRefusal> FairQueue::Expire(double random, TimePoint now) {
  std::vector<FairRefusal> refused;
  while (!latest_starts_.empty() && latest_starts_.begin()->first < now) {
    const uint64_t id = latest_starts_.begin()->second;
    const Place& place = waiting_.at(id);
    const Duration time = place.deadline - place.added;
    const FairRequest request = Take(id);
    refused.push_back(
        Refuse(request, time, ExpectedWait(request, now), random, now));
  }
  return refused;
}

std::optional<FairRequest> FairQueue::Start(TimePoint now) {
  if (running_.size() >= slots_) {
    return std::nullopt;
  }
  for (auto& [priority, priority_class] : classes_) {
    for (const auto& [start, organisation] : priority_class.backlog) {
      Account& account = priority_class.accounts[organisation];
      const auto next =
          std::find_if(account.waiting.begin(), account.waiting.end(),
                       [now](const auto& entry) {
                         return now + entry.second.work <= entry.first.first;
                       });
      if (next == account.waiting.end()) {
        continue;  // Expire will refuse them.
      }
      const double start_tag = start;
      priority_class.virtual_time =
          std::max(priority_class.virtual_time, start_tag);
      account.finish = start_tag + Seconds(next->second.work) / account.weight;
      FairRequest request = Take(next->second.id);
      if (!account.waiting.empty()) {
        priority_class.backlog.erase({start_tag, request.organisation});
        account.start = account.finish;
        priority_class.backlog.emplace(account.start, request.organisation);
      }
      running_[request.id] = {request.priority, request.organisation,
                              request.weight, request.work, now + request.work};
      return request;
    }
  }
  return std::nullopt;
}

void FairQueue::OnEnded(uint64_t id, Duration work) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  const Running ended = std::move(found->second);
  running_.erase(found);
  Class& priority_class = classes_[ended.priority];
  const auto account_entry = priority_class.accounts.find(ended.organisation);
  if (account_entry == priority_class.accounts.end()) {
    return;
  }
  Account& account = account_entry->second;
  const double correction = Seconds(work - ended.work) / ended.weight;
  account.finish += correction;
  if (!account.waiting.empty()) {
    priority_class.backlog.erase({account.start, ended.organisation});
    account.start = std::max(account.start + correction, 0.0);
    priority_class.backlog.emplace(account.start, ended.organisation);
  }
}

void FairQueue::Remove(uint64_t id) {
  if (waiting_.contains(id)) {
    Take(id);
  }
}

FairRequest FairQueue::Take(uint64_t id) {
  const auto place = waiting_.find(id);
  Class& priority_class = classes_[place->second.priority];
  Account& account = priority_class.accounts[place->second.organisation];
  const auto entry = account.waiting.find({place->second.deadline, id});
  FairRequest request = std::move(entry->second);
  account.waiting.erase(entry);
  waiting_.erase(place);
  latest_starts_.erase({request.deadline - request.work, id});
  account.work -= request.work;
  priority_class.work -= request.work;
  if (account.waiting.empty()) {
    priority_class.backlog.erase({account.start, request.organisation});
  }
  return request;
}

Duration FairQueue::ExpectedWait(const FairRequest& request,
                                 TimePoint now) const {
  // Work that goes first, in slot time.
  Duration ahead{};
  for (const auto& [id, running] : running_) {
    ahead += std::max(running.expected_end - now, Duration::zero());
  }
  for (const auto& [priority, priority_class] : classes_) {
    if (priority < request.priority) {
      ahead += priority_class.work;
    }
  }
  if (const auto own_class = classes_.find(request.priority);
      own_class != classes_.end()) {
    const auto& accounts = own_class->second.accounts;
    Duration own{};
    if (const auto own_account = accounts.find(request.organisation);
        own_account != accounts.end()) {
      for (const auto& [key, other] : own_account->second.waiting) {
        own += key.first <= request.deadline ? other.work : Duration::zero();
      }
    }
    ahead += own;
    for (const auto& [start, organisation] : own_class->second.backlog) {
      if (organisation != request.organisation) {
        const Account& other = accounts.at(organisation);
        // While the own requests run, another organisation gets at most its
        // weight in proportion.
        ahead += std::min(other.work, Scale(own + request.work,
                                            other.weight / request.weight));
      }
    }
  }
  const bool is_free = running_.size() < slots_ && waiting_.empty();
  return is_free ? Duration::zero() : ahead / slots_;
}

FairRefusal FairQueue::Refuse(const FairRequest& request,
                              Duration time,
                              Duration wait,
                              double random,
                              TimePoint now) {
  FairRefusal refusal{.id = request.id, .retry_after = {}};
  if (time < request.work) {
    return refusal;
  }
  const Duration excess =
      std::max(wait + request.work - time, Duration::zero());
  const TimePoint back = std::max(now + excess, next_return_);
  if (back - now > kOrderedReturns) {
    refusal.retry_after =
        std::max(excess, kOrderedReturns) + Scale(kOrderedReturns, random);
    return refusal;
  }
  // As fast as the slots could serve them. Within its turn each returns at
  // random, so that clients of several queues do not meet.
  const Duration turn = request.work / slots_;
  next_return_ = back + turn;
  refusal.retry_after = back - now + Scale(turn, random);
  return refusal;
}

void FairQueue::Prune(Class& priority_class) {
  if (priority_class.accounts.size() <
      std::max(kMinAccountsToPrune, 2 * priority_class.pruned_size)) {
    return;
  }
  std::erase_if(priority_class.accounts, [&](const auto& entry) {
    return entry.second.waiting.empty() &&
           entry.second.finish <= priority_class.virtual_time;
  });
  priority_class.pruned_size = priority_class.accounts.size();
}

}  // namespace limpethatch
