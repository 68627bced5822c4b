#include "limpethatch/connection/read_pacer.h"

#include <criterion/criterion.h>

namespace limpethatch {

using std::chrono::milliseconds;

// The load: 45 engines with 6 samples each, some 28 events a second from each.
Test(read_pacer, reads_stay_bounded_up_to_the_grown_sizes) {
  for (const size_t streams : {61, 108, 270}) {
    const Duration round = ReadPacer::RoundOf(streams);
    const double reads_per_second =
        static_cast<double>(streams) /
        std::chrono::duration<double>(round).count();
    cr_assert_leq(reads_per_second, ReadPacer::kReadsPerSecond + 1);
  }
}

Test(read_pacer, few_streams_are_read_at_once) {
  cr_assert(ReadPacer::RoundOf(0) == Duration::zero());
  cr_assert(ReadPacer::RoundOf(40) == Duration::zero());
}

Test(read_pacer, no_end_is_noticed_later_than_the_longest_round) {
  cr_assert(ReadPacer::RoundOf(5000) == milliseconds(100));
}

}  // namespace limpethatch
