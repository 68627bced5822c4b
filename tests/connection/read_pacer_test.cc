#include "limpethatch/connection/read_pacer.h"

#include <criterion/criterion.h>

namespace limpethatch {

using std::chrono::milliseconds;

// 270 streams are the load of 45 engines with 6 samples each. Each stream sends
// about 28 events per second.
Test(read_pacer, the_read_rate_stays_bounded_at_large_stream_counts) {
  for (const size_t streams : {61, 108, 270}) {
    const Duration round = ReadPacer::RoundDuration(streams);
    const double reads_per_second =
        static_cast<double>(streams) /
        std::chrono::duration<double>(round).count();
    cr_assert_leq(reads_per_second, ReadPacer::kMaxReadsPerSecond + 1);
  }
}

Test(read_pacer, few_streams_are_read_without_pausing) {
  cr_assert(ReadPacer::RoundDuration(0) == Duration::zero());
  cr_assert(ReadPacer::RoundDuration(40) == Duration::zero());
}

Test(read_pacer, a_round_never_exceeds_the_maximum) {
  cr_assert(ReadPacer::RoundDuration(5000) == milliseconds(100));
}

}  // namespace limpethatch
