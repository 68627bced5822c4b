#include "limpethatch/request/organisations/organisation_table.h"

#include <malloc.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/request/route_table.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

wire::Organisation* AddOrganisation(wire::FleetConfiguration* configuration,
                                    const std::string& name,
                                    const std::vector<std::string>& keys) {
  wire::Organisation& organisation = *configuration->add_organisations();
  organisation.set_name(name);
  for (const std::string& key : keys) {
    organisation.add_key_digests(EncodeKeyDigest(DigestOfKey(key)));
  }
  return &organisation;
}

std::string NameOf(const OrganisationTable& table, const std::string& key) {
  const Organisation* found = table.Find(DigestOfKey(key));
  return found ? found->name : "";
}

}  // namespace

// Guards against a digest that differs between builds or machines, which would
// refuse all keys after an upgrade of one of them.
Test(organisation_table, a_digest_is_the_beginning_of_the_sha256_of_the_key) {
  cr_assert(EncodeKeyDigest(DigestOfKey("abc")) ==
            "\xBA\x78\x16\xBF\x8F\x01\xCF\xEA\x41\x41\x40\xDE\x5D\xAE\x22\x23");
  cr_assert(!DecodeKeyDigest("too short"));
}

Test(organisation_table, each_key_of_an_organisation_finds_it) {
  wire::FleetConfiguration configuration;
  AddOrganisation(&configuration, "hule930", {"k1", "k2"})->set_priority(0);
  AddOrganisation(&configuration, "fida11", {"k3"});
  AddOrganisation(&configuration, "keyless", {});
  const OrganisationTable table(configuration);
  cr_assert(table.keys_required() && table.size() == 3);
  cr_assert(NameOf(table, "k1") == "hule930" &&
            NameOf(table, "k2") == "hule930");
  cr_assert(NameOf(table, "k3") == "fida11");
  cr_assert(NameOf(table, "k4").empty() && NameOf(table, "").empty());
  cr_assert(table.Find(DigestOfKey("k1"))->priority == 0U);
  cr_assert(!table.Find(DigestOfKey("k3"))->priority);
}

// Guards against serving a request for the wrong one of two organisations.
Test(organisation_table, a_shared_key_belongs_to_no_organisation) {
  wire::FleetConfiguration configuration;
  AddOrganisation(&configuration, "hule930", {"k1", "shared", "k1"});
  AddOrganisation(&configuration, "fida11", {"shared", "k3"});
  AddOrganisation(&configuration, "third", {"shared"});
  const OrganisationTable table(configuration);
  cr_assert(NameOf(table, "shared").empty());
  cr_assert(NameOf(table, "k1") == "hule930");
  cr_assert(NameOf(table, "k3") == "fida11");
}

// Guards against opening a fleet to everybody by removing its last
// organisation.
Test(organisation_table, keys_are_required_without_any_organisation_too) {
  wire::FleetConfiguration configuration;
  cr_assert(!OrganisationTable(configuration).keys_required());
  configuration.set_keys_required(true);
  const OrganisationTable table(configuration);
  cr_assert(table.keys_required() && NameOf(table, "k1").empty());
}

// Guards against keys that get lost among others whose hashes collide, and
// against malformed digests.
Test(organisation_table, finds_the_same_as_a_map) {
  const bool holds = rc::check([] {
    const auto owners = *rc::gen::container<std::map<int, int>>(
        rc::gen::inRange(0, 300), rc::gen::inRange(0, 20));
    std::map<int, std::vector<std::string>> keys;
    for (const auto& [key, owner] : owners) {
      keys[owner].push_back(std::to_string(key));
    }
    wire::FleetConfiguration configuration;
    for (const auto& [owner, own] : keys) {
      AddOrganisation(&configuration, "o" + std::to_string(owner), own)
          ->add_key_digests("malformed");
    }
    const OrganisationTable table(configuration);
    for (int key = 0; key < 300; ++key) {
      const auto owner = owners.find(key);
      RC_ASSERT(
          NameOf(table, std::to_string(key)) ==
          (owner == owners.end() ? "" : "o" + std::to_string(owner->second)));
    }
  });
  cr_assert(holds);
}

// Guards against serving a revoked key after the next configuration.
Test(organisation_table, a_key_that_a_newer_configuration_drops_is_unknown) {
  wire::FleetConfiguration configuration;
  AddOrganisation(&configuration, "hule930", {"kept", "revoked"});
  const RouteTable before(configuration);
  configuration.clear_organisations();
  AddOrganisation(&configuration, "hule930", {"kept"});
  const RouteTable after(configuration);
  cr_assert(NameOf(before.organisations(), "revoked") == "hule930");
  cr_assert(NameOf(after.organisations(), "revoked").empty());
  cr_assert(NameOf(after.organisations(), "kept") == "hule930");
}

// Guards against the memory of a gateway with 96 MB: as messages, these
// organisations take about 5 MB more.
Test(organisation_table, many_organisations_take_less_than_4_megabytes) {
  constexpr size_t kOrganisations = 10'000;
  constexpr size_t kMaxBytes = 4'000'000;
  wire::FleetConfiguration configuration;
  for (size_t i = 0; i < kOrganisations; ++i) {
    const std::string name = "organisation-" + std::to_string(i);
    AddOrganisation(&configuration, name,
                    {name + "-a", name + "-b", name + "-c"});
  }
  const size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  const auto table = std::make_unique<RouteTable>(configuration);
  const size_t bytes = mallinfo2().uordblks + mallinfo2().hblkhd - before;
  cr_assert_lt(bytes, kMaxBytes, "%zu bytes", bytes);
  cr_assert(NameOf(table->organisations(), "organisation-9999-c") ==
            "organisation-9999");
  cr_assert(table->configuration().organisations().empty());
}

}  // namespace limpethatch
