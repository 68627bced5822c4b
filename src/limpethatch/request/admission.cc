#include "limpethatch/request/admission.h"

#include <algorithm>
#include <utility>

namespace limpethatch {
namespace {

// Service units charged for one answered request, by RequestClass.
constexpr std::array<double, kRequestClasses> kServiceCost = {1, 8, 64};
// All idle flows are evicted when there are more flows than this, and the
// service that they received is forgotten.
constexpr size_t kMaxIdleFlows = 1024;
// A request is queued only if its expected wait is at most this share of the
// time to its deadline, so that it still finishes when the wait was
// underestimated.
constexpr double kMaxQueueWaitShare = 0.5;

}  // namespace

Admission::Admission(AdmissionOptions options)
    : options_(options), limit_(options.limit) {}

AdmissionActions Admission::Offer(AdmissionRequest request, TimePoint now) {
  const std::lock_guard lock(mutex_);
  AdmissionActions actions;
  const Tier tier = TierOf(request.request_class);
  QueuedRequest waiting{request, LatestStart(request, now)};
  Flow& flow = flows_[tier][request.flow];
  flow.weight = std::max(request.weight, 1e-6);
  if (flow.waiting.empty()) {
    flow.service_received =
        std::max(flow.service_received, virtual_time_[tier]);
  }
  if (MissesDeadline(waiting, now)) {
    Refuse(request.id, AdmissionRefusal::kDeadline, actions);
  } else if (queued_[tier] == 0 && HasCapacity(tier)) {
    Start(tier, flow, std::move(request), actions);
  } else {
    Enqueue(tier, std::move(waiting), now, actions);
  }
  return actions;
}

void Admission::Enqueue(Tier tier,
                        QueuedRequest waiting,
                        TimePoint now,
                        AdmissionActions& actions) {
  limit_reached_ = true;
  const AdmissionRequest& request = waiting.request;
  const std::chrono::duration<double> left = request.deadline - now;
  const Duration wait = ExpectedWait(tier, request);
  if (wait > left * kMaxQueueWaitShare || now + wait > waiting.latest_start) {
    Refuse(request.id, AdmissionRefusal::kDeadline, actions);
  } else if (!MakeQueueSpace(tier, request, actions)) {
    Refuse(request.id, AdmissionRefusal::kQueueFull, actions);
  } else {
    ++queued_[tier];
    flows_[tier][request.flow].waiting.push_back(std::move(waiting));
    StartQueued(now, actions);
  }
}

AdmissionActions Admission::Finish(uint64_t id,
                                   CallOutcome outcome,
                                   Duration latency,
                                   TimePoint now) {
  const std::lock_guard lock(mutex_);
  AdmissionActions actions;
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return actions;
  }
  const RunningRequest ended = std::move(found->second);
  running_.erase(found);
  --running_count_[ended.tier];
  if (outcome != CallOutcome::kAnswered) {
    if (const auto flow = flows_[ended.tier].find(ended.flow);
        flow != flows_[ended.tier].end()) {
      flow->second.service_received -= ended.charge;
    }
  }
  limit_.OnEnd(ended.request_class, outcome, latency,
               std::exchange(limit_reached_, false), now);
  StartQueued(now, actions);
  return actions;
}

AdmissionActions Admission::OnTimer(TimePoint now) {
  const std::lock_guard lock(mutex_);
  AdmissionActions actions;
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    for (auto& [name, flow] : flows_[tier]) {
      const auto late = [&](const QueuedRequest& waiting) {
        if (!MissesDeadline(waiting, now)) {
          return false;
        }
        Refuse(waiting.request.id, AdmissionRefusal::kDeadline, actions);
        return true;
      };
      queued_[tier] -= std::erase_if(flow.waiting, late);
    }
    EvictIdleFlows(static_cast<Tier>(tier));
  }
  StartQueued(now, actions);
  return actions;
}

bool Admission::Cancel(uint64_t id) {
  const std::lock_guard lock(mutex_);
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    for (auto& [name, flow] : flows_[tier]) {
      const auto erased =
          std::erase_if(flow.waiting, [id](const QueuedRequest& waiting) {
            return waiting.request.id == id;
          });
      queued_[tier] -= erased;
      if (erased > 0) {
        return true;
      }
    }
  }
  return false;
}

void Admission::SetSlotShare(double slots) {
  const std::lock_guard lock(mutex_);
  limit_.SetSlotShare(slots);
}

double Admission::limit() const {
  const std::lock_guard lock(mutex_);
  return limit_.limit();
}

size_t Admission::queued() const {
  const std::lock_guard lock(mutex_);
  return queued_[kInteractive] + queued_[kBatch];
}

size_t Admission::running() const {
  const std::lock_guard lock(mutex_);
  return running_.size();
}

Admission::Tier Admission::TierOf(RequestClass request_class) {
  return request_class == RequestClass::kRollout ? kBatch : kInteractive;
}

bool Admission::HasCapacity(Tier tier) const {
  const double limit = limit_.limit();
  if (static_cast<double>(running_.size()) >= limit) {
    return false;
  }
  return tier == kInteractive ||
         static_cast<double>(running_count_[kBatch] + 1) <=
             std::max(1.0, limit * (1 - options_.live_reserve));
}

// Requests started just before their deadline mostly waste target capacity, so
// a queued request must have the tail latency of a call left when it starts. A
// request that arrives with less than that may only start immediately.
TimePoint Admission::LatestStart(const AdmissionRequest& request,
                                 TimePoint now) const {
  const TimePoint latest =
      request.deadline - limit_.tail_latency(request.request_class);
  const bool possible =
      now + limit_.latency(request.request_class) < request.deadline;
  return possible ? std::max(now, latest) : latest;
}

// While nothing is running the latency estimate may be out of date, so one
// request is let through to refresh it.
bool Admission::MissesDeadline(const QueuedRequest& waiting,
                               TimePoint now) const {
  return now >= waiting.request.deadline ||
         (now > waiting.latest_start && !running_.empty());
}

// Time to serve the flow's own queue at its weighted share of throughput.
Duration Admission::ExpectedWait(Tier tier,
                                 const AdmissionRequest& request) const {
  double weights = 0;
  double own_weight = 1;
  size_t own = 1;
  for (const auto& [name, flow] : flows_[tier]) {
    if (name == request.flow) {
      own += flow.waiting.size();
      own_weight = flow.weight;
      weights += flow.weight;
    } else if (!flow.waiting.empty()) {
      weights += flow.weight;
    }
  }
  const double rounds =
      std::min(static_cast<double>(own) * weights / own_weight,
               static_cast<double>(queued_[tier] + 1)) /
      limit_.limit();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(limit_.latency(request.request_class)) *
      rounds);
}

Duration Admission::DrainTime() const {
  double longest_s = 0;
  for (size_t index = 0; index < kRequestClasses; ++index) {
    longest_s = std::max(longest_s,
                         std::chrono::duration<double>(
                             limit_.latency(static_cast<RequestClass>(index)))
                             .count());
  }
  const double rounds =
      1 + static_cast<double>(queued_[kInteractive] + queued_[kBatch]) /
              limit_.limit();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(longest_s * rounds));
}

// If the queue is full, refuses the newest request of the flow with the longest
// queue relative to its weight, unless that is the new request's own flow.
bool Admission::MakeQueueSpace(Tier tier,
                               const AdmissionRequest& request,
                               AdmissionActions& actions) {
  if (queued_[tier] < options_.max_queued) {
    return true;
  }
  const auto length = [](const Flow& flow) {
    return static_cast<double>(flow.waiting.size()) / flow.weight;
  };
  const auto longest =
      std::max_element(flows_[tier].begin(), flows_[tier].end(),
                       [&](const auto& left, const auto& right) {
                         return length(left.second) < length(right.second);
                       });
  const Flow& own = flows_[tier][request.flow];
  if (longest == flows_[tier].end() || longest->second.waiting.empty() ||
      length(own) + 1 / own.weight >= length(longest->second)) {
    return false;
  }
  Refuse(longest->second.waiting.back().request.id,
         AdmissionRefusal::kQueueFull, actions);
  longest->second.waiting.pop_back();
  --queued_[tier];
  return true;
}

Admission::Flows::iterator Admission::LeastServed(Tier tier) {
  auto least = flows_[tier].end();
  for (auto flow = flows_[tier].begin(); flow != flows_[tier].end(); ++flow) {
    if (!flow->second.waiting.empty() &&
        (least == flows_[tier].end() ||
         flow->second.service_received < least->second.service_received)) {
      least = flow;
    }
  }
  return least;
}

void Admission::Start(Tier tier,
                      Flow& flow,
                      AdmissionRequest request,
                      AdmissionActions& actions) {
  const double charge =
      kServiceCost[static_cast<size_t>(request.request_class)] / flow.weight;
  virtual_time_[tier] = std::max(virtual_time_[tier], flow.service_received);
  flow.service_received += charge;
  ++running_count_[tier];
  actions.emplace_back(StartRequest{request.id});
  running_.emplace(request.id, RunningRequest{std::move(request.flow), tier,
                                              request.request_class, charge});
}

void Admission::StartQueued(TimePoint now, AdmissionActions& actions) {
  for (const Tier tier : {kInteractive, kBatch}) {
    while (queued_[tier] > 0 && HasCapacity(tier)) {
      Flow& flow = LeastServed(tier)->second;
      QueuedRequest waiting = std::move(flow.waiting.front());
      flow.waiting.pop_front();
      --queued_[tier];
      if (MissesDeadline(waiting, now)) {
        Refuse(waiting.request.id, AdmissionRefusal::kDeadline, actions);
      } else {
        Start(tier, flow, std::move(waiting.request), actions);
      }
    }
    limit_reached_ |= queued_[tier] > 0;
  }
}

void Admission::Refuse(uint64_t id,
                       AdmissionRefusal reason,
                       AdmissionActions& actions) {
  actions.emplace_back(RefuseRequest{id, reason, DrainTime()});
}

void Admission::EvictIdleFlows(Tier tier) {
  if (flows_[tier].size() > kMaxIdleFlows) {
    std::erase_if(flows_[tier], [](const auto& entry) {
      return entry.second.waiting.empty();
    });
  }
}

}  // namespace limpethatch
