#include "limpethatch/request/targets/target_estimate.h"

#include <algorithm>
#include <cmath>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// A reported load is replaced by other requests within a few times their work,
// which is about 25 ms.
constexpr Duration kLoadLifetime = milliseconds(100);
// Slow phases last some 600 ms, so at a random moment half of that remains.
constexpr Duration kPaceLifetime = milliseconds(300);
// Own calls tell of the speed of a machine, which changes rarely, but a target
// that is not used must be tried again.
constexpr Duration kHistoryLifetime = std::chrono::seconds(120);
// A report says that the target is full, whatever the history, for this long.
constexpr Duration kFreshReport = milliseconds(100);
constexpr double kMinGain = 0.1;
// Weight of the service's typical work, in answers of the target.
constexpr double kPriorAnswers = 1;
// A target of which nothing is known any more must look better than those in
// use, or it would not be tried again.
constexpr double kPriorOptimism = 0.8;
// One call counts as at most this multiple of the known work, so that a stall
// of a connection does not decide the estimate.
constexpr double kMaxWorkRatio = 4;
constexpr double kMinAnswersToLimit = 3;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double Decay(Duration age, Duration lifetime) {
  return std::exp(-std::max(0.0, Seconds(age)) / Seconds(lifetime));
}

// Weighs all values the same until they are many enough for a moving average.
double Gain(double count) {
  return std::max(kMinGain, 1 / count);
}

}  // namespace

void TargetEstimate::OnSent(TimePoint now) {
  sent_at_.push_back(now);
  used_at_ = now;
}

bool TargetEstimate::OnLoad(const LoadReport& report, TimePoint now) {
  last_ = BoundLoadReport(report);
  reported_at_ = now;
  lacks_load_ = false;
  ++reports_;
  last_other_load_ =
      std::max(0.0, static_cast<double>(last_.running) + last_.waiting -
                        static_cast<double>(sent_at_.size()));
  const double gain = Gain(static_cast<double>(reports_));
  usual_other_load_ += gain * (last_other_load_ - usual_other_load_);
  usual_pace_ += gain * (last_.pace - usual_pace_);
  return last_ == report;
}

void TargetEstimate::OnAnswered(Duration latency, TimePoint now) {
  RemoveOutstanding(now - latency);
  used_at_ = now;
  AddWork(latency, now);
}

void TargetEstimate::OnAbandoned(Duration latency, TimePoint now) {
  RemoveOutstanding(now - latency);
  used_at_ = now;
  // It would have taken longer, which tells something only if that is unusual.
  if (answers_ > 0 && Seconds(latency) > work_s_ * Pace(now)) {
    AddWork(latency, now);
  }
}

void TargetEstimate::AddWork(Duration latency, TimePoint now) {
  double work_s = std::max(0.0, Seconds(latency)) / Pace(now);
  if (answers_ >= kMinAnswersToLimit) {
    work_s = std::min(work_s, kMaxWorkRatio * work_s_);
  }
  // Old answers count less, or a target that was slow would stay so after an
  // answer that shows the contrary.
  answers_ = answers_ * HistoryWeight(now) + 1;
  work_s_ += Gain(answers_) * (work_s - work_s_);
  answered_at_ = now;
}

void TargetEstimate::RemoveOutstanding(TimePoint sent_at) {
  const auto sent = std::find(sent_at_.begin(), sent_at_.end(), sent_at);
  if (sent != sent_at_.end()) {
    sent_at_.erase(sent);
  }
}

Duration TargetEstimate::typical_work() const {
  return FromSeconds(work_s_);
}

double TargetEstimate::HistoryWeight(TimePoint now) const {
  return answers_ == 0 ? 0 : Decay(now - answered_at_, kHistoryLifetime);
}

double TargetEstimate::Load(TimePoint now) const {
  const double weight =
      reports_ == 0 ? 0 : Decay(now - reported_at_, kLoadLifetime);
  return static_cast<double>(sent_at_.size()) + usual_other_load_ +
         weight * (last_other_load_ - usual_other_load_);
}

double TargetEstimate::Pace(TimePoint now) const {
  const double weight =
      reports_ == 0 ? 0 : Decay(now - reported_at_, kPaceLifetime);
  return usual_pace_ + weight * (last_.pace - usual_pace_);
}

TargetForecast TargetEstimate::Estimate(Duration service_work,
                                        TimePoint now) const {
  const double own_answers = answers_ * HistoryWeight(now);
  const double prior = service_work == Duration::zero()
                           ? work_s_
                           : kPriorOptimism * Seconds(service_work);
  const double work_s = (own_answers * work_s_ + kPriorAnswers * prior) /
                        (own_answers + kPriorAnswers);
  const double load = Load(now);
  const double slots = last_.slots;
  const bool says_full = reports_ > 0 && now - reported_at_ <= kFreshReport &&
                         (last_.waiting > 0 || last_.running >= last_.slots);
  TargetForecast forecast;
  forecast.is_saturated = reports_ > 0 && (says_full || load >= slots);
  const double turns = 1 + std::max(0.0, load + 1 - slots) / slots;
  forecast.finish = FromSeconds(work_s * Pace(now) * turns);
  if (!sent_at_.empty()) {
    // A call that has waited for longer than expected shows that the target is
    // slow, before any answer does.
    forecast.finish = std::max(forecast.finish, now - sent_at_.front());
  }
  return forecast;
}

}  // namespace limpethatch
