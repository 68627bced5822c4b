// One budget for the memory that a process holds for its clients: heads, bodies
// and unread answers of all connections of its HTTP servers.
#ifndef LIMPETHATCH_CONNECTION_CLIENT_MEMORY_H_
#define LIMPETHATCH_CONNECTION_CLIENT_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/metrics_text.h"

namespace limpethatch {

// To be used on one thread.
class ClientMemory : public std::enable_shared_from_this<ClientMemory> {
 public:
  // What a connection does. One whose request runs is never evicted.
  enum class Phase { kIdle, kReading, kRunning, kWriting };

  // Larger holders leave this part of the budget to smaller ones.
  static constexpr size_t kReservedPart = 8;
  static constexpr size_t kMaxSmallBytes = 64UL * 1024;

  // The bytes of one connection.
  class Share {
   public:
    // `evict` tells the connection to close. It must not destroy the share
    // before it returns.
    Share(std::shared_ptr<ClientMemory> memory, std::function<void()> evict);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Reserves `bytes` in all, or changes nothing and returns false.
    bool TryHold(size_t bytes);
    // Counts `bytes` in all, even beyond the budget.
    void Hold(size_t bytes);
    void BeginPhase(Phase phase, TimePoint now);

    size_t bytes() const { return bytes_; }
    Phase phase() const { return phase_; }
    TimePoint phase_began_at() const { return phase_began_at_; }
    // Whether this connection was told to close.
    bool evicted() const { return evicted_; }
    void Evict();
    ClientMemory& memory() const { return *memory_; }

   private:
    friend class ClientMemory;

    const std::shared_ptr<ClientMemory> memory_;
    const std::function<void()> evict_;
    size_t bytes_ = 0;
    Phase phase_ = Phase::kIdle;
    TimePoint phase_began_at_{};
    bool evicted_ = false;
  };

  explicit ClientMemory(size_t max_bytes) : max_bytes_(max_bytes) {}

  // Tells the connection to close that holds most for longest (its bytes times
  // its time in the phase), unless what was told to close before makes room for
  // `bytes`. Returns false if no connection may be closed.
  bool MakeRoom(size_t bytes, TimePoint now);

  size_t max_bytes() const { return max_bytes_; }
  size_t held_bytes() const { return held_bytes_; }
  // Whether more is held than the budget, without what was told to close.
  bool IsExceeded() const { return held_bytes_ - evicted_bytes_ > max_bytes_; }
  // Bytes left to those that hold much.
  size_t spare_bytes() const;

  // Adds the metrics of this budget.
  void Write(MetricsText* text) const;

  // Counts a refused or closed connection, and logs one line a minute for each
  // reason.
  void CountRefusal(std::string_view reason, TimePoint now);

 private:
  const size_t max_bytes_;
  size_t held_bytes_ = 0;
  size_t evicted_bytes_ = 0;  // Held by connections that were told to close.
  std::set<Share*> shares_;
  std::map<std::string, uint64_t, std::less<>> refusals_;
  std::map<std::string, TimePoint, std::less<>> logged_at_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_CLIENT_MEMORY_H_
