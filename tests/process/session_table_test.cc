#include "limpethatch/process/session_table.h"

#include <chrono>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::seconds;
using Holders = std::vector<std::string>;

constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

Test(session_table, a_silent_or_replaced_incarnation_is_expired_until_removed) {
  SessionTable sessions(seconds(3));
  sessions.RecordContact("entry-1", 7, kStart);
  sessions.RecordContact("entry-2", 4, kStart);
  cr_assert(sessions.ExpiredHolders(kStart + seconds(2)).empty());
  sessions.RecordContact("entry-1", 8, kStart + seconds(2));
  cr_assert(sessions.ExpiredHolders(kStart + seconds(2)) ==
            Holders{"entry-1#7"});
  cr_assert(sessions.ExpiredHolders(kStart + seconds(4)) ==
            (Holders{"entry-1#7", "entry-2#4"}));
  sessions.RemoveExpired("entry-1#7");
  cr_assert(sessions.ExpiredHolders(kStart + seconds(4)) ==
            Holders{"entry-2#4"});
}

Test(session_table, an_older_incarnation_does_not_replace_a_newer_one) {
  SessionTable sessions(seconds(3));
  sessions.RecordContact("entry-1", 8, kStart);
  sessions.RecordContact("entry-1", 7, kStart + seconds(1));
  cr_assert_eq(sessions.sessions().at("entry-1").incarnation, 8);
  cr_assert(sessions.ExpiredHolders(kStart + seconds(1)) ==
            Holders{"entry-1#7"});
}

Test(session_table, a_new_leader_gives_known_holders_the_whole_timeout) {
  SessionTable sessions(seconds(3));
  sessions.Reset({"entry-1#7", "entry-1#8"}, kStart);
  cr_assert(sessions.ExpiredHolders(kStart) == Holders{"entry-1#7"});
  sessions.RemoveExpired("entry-1#7");
  cr_assert(sessions.ExpiredHolders(kStart + seconds(2)).empty());
  cr_assert(sessions.ExpiredHolders(kStart + seconds(3)) ==
            Holders{"entry-1#8"});
}

Test(session_table, a_request_its_sender_has_given_up_is_stale) {
  SessionTable sessions(seconds(3));
  sessions.RecordContact("entry-1", 7, kStart);
  cr_assert_not(sessions.IsStaleRequest("entry-1", 7, 5, 3));
  cr_assert(sessions.IsStaleRequest("entry-1", 7, 2, 1));
  cr_assert_not(sessions.IsStaleRequest("entry-1", 7, 3, 3));
  sessions.RecordContact("entry-1", 8, kStart);
  cr_assert(sessions.IsStaleRequest("entry-1", 7, 9, 3));
  cr_assert_not(sessions.IsStaleRequest("entry-1", 8, 1, 1));
}

}  // namespace limpethatch
