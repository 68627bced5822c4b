// Batches the reads of many streams into rounds.
//
// Each read of a stream costs a wake-up, a system call and a parser run,
// however many events it returns. Where no consumer waits for single events,
// delayed reads return several events at once. In exchange, the end of a stream
// is detected up to one round late.
#ifndef LIMPETHATCH_CONNECTION_READ_PACER_H_
#define LIMPETHATCH_CONNECTION_READ_PACER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>

#include "limpethatch/connection/yield.h"
#include "limpethatch/process/clock.h"

namespace limpethatch {

// All waiting streams resume at the same time. To be used on the one thread
// that runs the io_context.
class ReadPacer {
 public:
  // The limit on reads per second over all streams. It is two fifths of the
  // reads that 270 streams with 28 events per second would need at one event
  // per read. From 300 streams on, kMaxRound takes precedence over it.
  static constexpr size_t kMaxReadsPerSecond = 3000;
  // In shorter rounds a read would not return two events of one stream.
  static constexpr Duration kMinRound = std::chrono::milliseconds(20);
  // A tenth of the duration of the shortest samples.
  static constexpr Duration kMaxRound = std::chrono::milliseconds(100);

  explicit ReadPacer(boost::asio::io_context& io) : round_timer_(io) {}

  // Returns the duration of a round for this many streams, or zero if they can
  // be read without waiting.
  static Duration RoundDuration(size_t streams);

  // Suspends the coroutine until the end of the current round. Returns at once
  // if this many streams need no rounds.
  void WaitForRound(Yield yield, size_t streams);

 private:
  boost::asio::steady_timer round_timer_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_READ_PACER_H_
