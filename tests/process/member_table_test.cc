#include "limpethatch/process/internal/member_table.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace limpethatch;

namespace {

const TimePoint kNow{1h};

MemberTable MakeTable() {
  return MemberTable("kigali-a", {4s, 3s, 1h});
}

Announcement MakeAnnouncement(uint64_t incarnation,
                              uint64_t sequence,
                              uint64_t version,
                              bool leaving = false) {
  return {.info = {.id = "sampler",
                   .address = "10.0.0.1:80",
                   .group = "coach-llm",
                   .zone = "kigali-a",
                   .version = version,
                   .incarnation = incarnation},
          .sequence = sequence,
          .leaving = leaving,
          .load = {}};
}

}  // namespace

Test(member_table, a_later_announcement_does_not_undo_leaving) {
  MemberTable table = MakeTable();
  table.Announce(MakeAnnouncement(1, 5, 1, true), kNow);
  cr_assert(table.Announce(MakeAnnouncement(1, 4, 1), kNow).effect ==
            MergeEffect::kNone);
  table.Announce(MakeAnnouncement(1, 6, 1), kNow);
  cr_assert(table.Find("sampler")->leaving);
  table.Announce(MakeAnnouncement(2, 1, 1), kNow);
  cr_assert(!table.Find("sampler")->leaving);
  cr_assert(
      table.Announce(MakeAnnouncement(1, 9, 1, true), kNow).incoming_is_older);
  cr_assert(!table.Find("sampler")->leaving);
}

Test(
    member_table,
    a_newer_incarnation_replaces_the_version_and_a_stale_announcement_does_not) {
  MemberTable table = MakeTable();
  table.Announce(MakeAnnouncement(1, 100, 7), kNow);
  table.Announce(MakeAnnouncement(2, 1, 5), kNow);
  cr_assert(table.Find("sampler")->info.version == 5);
  table.Announce(MakeAnnouncement(2, 9, 6), kNow);
  table.Announce(MakeAnnouncement(2, 8, 5), kNow);
  cr_assert(table.Find("sampler")->info.version == 6);
  cr_assert(table.Find("sampler")->sequence == 9);
  // Another instance gossips a change that is obsolete here.
  Member* member = table.Find("sampler");
  table.Announce(MakeAnnouncement(2, 20, 6), kNow);
  table.MergeChange(*member, {member->base_sequence, 15, 5, false, 0}, kNow);
  cr_assert(member->info.version == 6);
}

Test(member_table, a_silent_member_is_gone_until_a_newer_announcement) {
  MemberTable table = MakeTable();
  table.Announce(MakeAnnouncement(1, 5, 1), kNow);
  cr_assert(table.ExpireTimedOut(kNow + 4s).empty());
  cr_assert(table.ExpireTimedOut(kNow + 4001ms).size() == 1);
  const Member* member = table.Find("sampler");
  cr_assert(member->gone() && member->gone_sequence == 5);
  table.Announce(MakeAnnouncement(1, 4, 1), kNow + 5s);
  cr_assert(member->gone());
  const auto back = table.Announce(MakeAnnouncement(1, 6, 1), kNow + 5s);
  cr_assert(back.effect == MergeEffect::kState && !member->gone());
  cr_assert(member->record_sequence == 6,
            "other zones learn of the return by it");
}

Test(member_table, of_two_ids_at_one_address_the_newer_incarnation_stays) {
  MemberTable table = MakeTable();
  table.Announce(MakeAnnouncement(1, 5, 1), kNow);
  Announcement other = MakeAnnouncement(2, 1, 1);
  other.info.id = "renamed";
  table.Announce(other, kNow);
  cr_assert(table.Find("sampler")->gone());
  cr_assert(!table.Find("renamed")->gone());
}

Test(member_table, digests_are_equal_only_if_the_present_states_are) {
  MemberTable a = MakeTable(), b = MakeTable();
  a.Announce(MakeAnnouncement(1, 5, 1), kNow);
  b.Announce(MakeAnnouncement(1, 5, 1), kNow);
  cr_assert(a.digests() == b.digests());
  a.Announce(MakeAnnouncement(1, 6, 1), kNow);
  cr_assert(a.digests() == b.digests(),
            "a heartbeat does not change the state");
  a.Announce(MakeAnnouncement(1, 7, 2), kNow);
  cr_assert(a.digests() != b.digests());
  b.MergeRecord(*a.Find("sampler"), kNow);
  cr_assert(a.digests() == b.digests());
}
