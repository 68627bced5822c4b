// Lets many streams be read in rounds instead of one event at a time.
//
// A stream of small events costs a wake-up, a system call and a pass through
// the parser for each read, whatever the read brings. Where nobody waits for
// single events, reading later brings several at once. The price is that the
// end of a stream is noticed up to one round late.
#ifndef LIMPETHATCH_CONNECTION_READ_PACER_H_
#define LIMPETHATCH_CONNECTION_READ_PACER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>

#include "limpethatch/connection/yield.h"
#include "limpethatch/process/clock.h"

namespace limpethatch {

// All streams that pause wake up together. For the thread of one io_context.
class ReadPacer {
 public:
  // Reads a second, over all streams, above which streams pause. Two fifths of
  // what 270 streams with 28 events a second would need read one by one. From
  // 300 streams on, kMaxRound goes before it.
  static constexpr size_t kMaxReadsPerSecond = 3000;
  // Shorter rounds would not bring two events of one stream together.
  static constexpr Duration kMinRound = std::chrono::milliseconds(20);
  // A tenth of the shortest samples' time.
  static constexpr Duration kMaxRound = std::chrono::milliseconds(100);

  explicit ReadPacer(boost::asio::io_context& io) : round_(io) {}

  // How long a round of `streams` takes; zero if they need not pause.
  static Duration RoundDuration(size_t streams);

  // Returns at the end of the present round.
  void WaitForRound(Yield yield, size_t streams);

 private:
  boost::asio::steady_timer round_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_READ_PACER_H_
