#include "limpethatch/version/manifest_adoption.h"

#include <tuple>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

// Exchanges notes between two instances until none are pending.
void Exchange(ManifestAdoption& a, ManifestAdoption& b) {
  for (bool moved = true; moved;) {
    moved = false;
    for (auto& [from, to, name] :
         {std::tuple<ManifestAdoption*, ManifestAdoption*, const char*>{&a, &b,
                                                                        "a"},
          {&b, &a, "b"}}) {
      for (ManifestNote& note : from->TakeNotes()) {
        note.peer = name;
        to->Receive(note);
        moved = true;
      }
    }
  }
}

ManifestAdoption Settled(const std::string& peer) {
  ManifestAdoption adoption(kStart);
  adoption.SetPeers({peer});
  adoption.Tick(0, kStart + ManifestAdoption::kMaxStartupWait);
  adoption.TakeNotes();
  return adoption;
}

Test(manifest_adoption, activates_a_version_once_a_peer_holds_it) {
  ManifestAdoption a = Settled("b");
  ManifestAdoption b = Settled("a");
  a.Store(7, "seven");
  cr_assert(!a.MayActivate());
  Exchange(a, b);
  cr_assert(a.MayActivate());
  cr_assert(b.MayActivate());
  cr_assert_eq(b.version(), 7U);
}

Test(manifest_adoption, activates_at_once_without_peers) {
  ManifestAdoption a = Settled("b");
  a.SetPeers({});
  a.Store(7, "seven");
  cr_assert(a.MayActivate());
}

Test(manifest_adoption,
     a_restarted_instance_activates_nothing_older_than_its_peer) {
  ManifestAdoption b = Settled("a");
  b.Store(9, "nine");
  ManifestAdoption a(kStart);
  a.SetPeers({"b"});
  a.Store(5, "five");  // Fetched from a control replica that lags behind.
  a.Tick(5, kStart + ManifestAdoption::kMinStartupWait);
  cr_assert(!a.MayActivate());
  Exchange(a, b);
  a.Tick(5, kStart + ManifestAdoption::kMinStartupWait);
  cr_assert(a.MayActivate());
  cr_assert_eq(a.version(), 9U);
  cr_assert_eq(a.manifest(), "nine");
}

Test(manifest_adoption, a_restarted_peer_no_longer_counts_as_a_holder) {
  ManifestAdoption a = Settled("b");
  ManifestAdoption b = Settled("a");
  a.Store(7, "seven");
  Exchange(a, b);
  a.Receive({"b", 0, "", true});
  cr_assert(!a.MayActivate());
}

Test(manifest_adoption, an_older_note_does_not_lower_the_version) {
  ManifestAdoption a = Settled("b");
  a.Store(7, "seven");
  a.Receive({"b", 6, "six", false});
  cr_assert_eq(a.version(), 7U);
  cr_assert_eq(a.manifest(), "seven");
}

}  // namespace
}  // namespace limpethatch
