#include "limpethatch/connection/client_memory.h"

#include <utility>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

constexpr Duration kLogPeriod = std::chrono::minutes(1);

double Weight(const ClientMemory::Share& share, TimePoint now) {
  const std::chrono::duration<double> age = now - share.phase_began_at();
  return static_cast<double>(share.bytes()) * age.count();
}

}  // namespace

ClientMemory::Share::Share(std::shared_ptr<ClientMemory> memory,
                           std::function<void()> evict)
    : memory_(std::move(memory)), evict_(std::move(evict)) {
  memory_->shares_.insert(this);
}

ClientMemory::Share::~Share() {
  Hold(0);
  memory_->shares_.erase(this);
}

bool ClientMemory::Share::TryHold(size_t bytes) {
  if (bytes > bytes_) {
    const size_t reserved =
        bytes > kMaxSmallBytes ? memory_->max_bytes_ / kReservedPart : 0;
    if (memory_->held_bytes_ + bytes - bytes_ >
        memory_->max_bytes_ - reserved) {
      return false;
    }
  }
  Hold(bytes);
  return true;
}

void ClientMemory::Share::Hold(size_t bytes) {
  memory_->held_bytes_ += bytes;
  memory_->held_bytes_ -= bytes_;
  if (evicted_) {
    memory_->evicted_bytes_ += bytes;
    memory_->evicted_bytes_ -= bytes_;
  }
  bytes_ = bytes;
}

void ClientMemory::Share::BeginPhase(Phase phase, TimePoint now) {
  phase_ = phase;
  phase_began_at_ = now;
}

void ClientMemory::Share::Evict() {
  if (!std::exchange(evicted_, true)) {
    memory_->evicted_bytes_ += bytes_;
    evict_();
  }
}

bool ClientMemory::MakeRoom(size_t bytes, TimePoint now) {
  const size_t available = max_bytes_ - max_bytes_ / kReservedPart;
  if (held_bytes_ - evicted_bytes_ + bytes <= available) {
    return true;
  }
  Share* heaviest = nullptr;
  for (Share* share : shares_) {
    if (share->phase_ != Phase::kRunning && !share->evicted_ &&
        (!heaviest || Weight(*share, now) > Weight(*heaviest, now))) {
      heaviest = share;
    }
  }
  if (!heaviest) {
    return evicted_bytes_ > 0;
  }
  heaviest->Evict();
  return true;
}

size_t ClientMemory::spare_bytes() const {
  const size_t available = max_bytes_ - max_bytes_ / kReservedPart;
  return available > held_bytes_ ? available - held_bytes_ : 0;
}

void ClientMemory::Write(MetricsText* text) const {
  text->Single("limpethatch_client_memory_bytes", MetricType::kGauge,
               "Memory held for clients.", static_cast<double>(held_bytes_));
  text->Family("limpethatch_clients_refused_total", MetricType::kCounter,
               "Connections refused or closed by a limit, by reason.");
  for (const auto& [reason, count] : refusals_) {
    text->Sample({{"reason", reason}}, static_cast<double>(count));
  }
}

void ClientMemory::CountRefusal(std::string_view reason, TimePoint now) {
  const auto found = refusals_.try_emplace(std::string(reason)).first;
  ++found->second;
  const auto [logged, first] = logged_at_.try_emplace(std::string(reason), now);
  if (first || now - logged->second >= kLogPeriod) {
    logged->second = now;
    Log(LogLevel::kWarning, "clients_refused",
        {{"reason", reason},
         {"total", found->second},
         {"held_bytes", held_bytes_},
         {"max_bytes", max_bytes_}});
  }
}

}  // namespace limpethatch
