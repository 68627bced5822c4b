#include <fmt/format.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "limpethatch/request/organisations/organisation_table.h"
#include "limpethatch/version/configuration_validator.h"
#include "platform/call_codec.h"
#include "platform/caller_check.h"
#include "platform/configuration_codec.h"
#include "platform/engine_codec.h"

#include <criterion/criterion.h>

namespace limpethatch::platform {
namespace {

std::string DocumentWith(const std::string& tenants) {
  return R"({"version":1,"routes":[],"services":[],"tenants":)" + tenants + "}";
}

// The faults of the document, from decoding or validation; empty if none.
std::vector<std::string> FaultsOf(const std::string& document) {
  wire::FleetConfiguration configuration;
  std::string problem;
  if (!DecodeConfiguration(document, &configuration, &problem)) {
    return {problem};
  }
  return ValidateConfiguration(configuration);
}

wire::FleetConfiguration Decode(const std::string& document) {
  wire::FleetConfiguration configuration;
  std::string problem;
  cr_assert(DecodeConfiguration(document, &configuration, &problem), "%s",
            problem.c_str());
  return configuration;
}

HttpRequest RequestWith(const std::vector<std::string>& keys) {
  HttpRequest request;
  request.headers.Add("Host", "shop.example");
  for (const std::string& key : keys) {
    request.headers.Add("x-api-key", key);
  }
  request.headers.Add("tenant", "victim");
  request.headers.Add("Tenant", "victim");
  return request;
}

size_t CountOf(const HttpHeaders& headers, std::string_view name) {
  size_t count = 0;
  for (const auto& [field, value] : headers.all()) {
    count += SameHeaderName(field, name) ? 1 : 0;
  }
  return count;
}

}  // namespace

// Guards against a gateway that gets keys, or one that gets no organisations.
Test(organisations, a_document_with_tenants_is_decoded_to_digests) {
  const wire::FleetConfiguration configuration = Decode(
      R"({"version":1,"services":[{"name":"s"}],"routes":[
        {"host":"a","path_prefix":"/p/","kind":"safe","timeout_ms":9,
         "service":"s","public":true},
        {"host":"a","path_prefix":"/q/","kind":"safe","timeout_ms":9,
         "service":"s"}],
      "tenants":[{"name":"hule930","api_keys":["secret-1","secret-2"],
                  "priority":2},
                 {"name":"fida11","api_keys":[]}]})");
  cr_assert(ValidateConfiguration(configuration).empty());
  cr_assert(configuration.keys_required());
  cr_assert(configuration.routes(0).public_access());
  cr_assert(!configuration.routes(1).public_access());
  cr_assert(configuration.organisations_size() == 2);
  cr_assert(configuration.organisations(0).priority() == 2);
  cr_assert(!configuration.organisations(1).has_priority());
  wire::FleetConfiguration for_gateways = configuration;
  for_gateways.clear_document();
  cr_assert(for_gateways.SerializeAsString().find("secret") ==
            std::string::npos);
  const OrganisationTable table(configuration);
  cr_assert(table.Find(DigestOfKey("secret-2"))->name == "hule930");
}

Test(organisations, a_document_without_tenants_requires_no_keys) {
  cr_assert(!Decode(DocumentWith("null")).keys_required());
  cr_assert(Decode(DocumentWith("[]")).keys_required());
}

// Guards against requests without a key that have the key of a tenant, header
// injection through a name, and an error that tells a key.
Test(organisations, invalid_tenants_are_refused_without_telling_a_key) {
  for (const char* tenants :
       {R"({})", R"([3])", R"([{"name":"a"}])", R"([{"api_keys":[]}])",
        R"([{"name":"a","api_keys":"secret"}])",
        R"([{"name":"a","api_keys":["secret",""]}])",
        R"([{"name":"a","api_keys":["secret",{"secret":1}]}])",
        R"([{"name":"a","api_keys":["secret"],"priority":-1}])",
        R"([{"name":"","api_keys":["secret"]}])",
        R"([{"name":"a ","api_keys":["secret"]}])",
        R"([{"name":"a\r\nExpect-Instance: x","api_keys":["secret"]}])",
        R"([{"name":"a","api_keys":["secret"]},{"name":"a","api_keys":[]}])"}) {
    const std::vector<std::string> faults = FaultsOf(DocumentWith(tenants));
    cr_assert(faults.size() == 1, "%s: %zu faults", tenants, faults.size());
    cr_assert(faults[0].find("secret") == std::string::npos, "%s",
              faults[0].c_str());
  }
}

// Guards against a shared key that is not found, and against an error that
// names the wrong tenants or tells the key.
Test(organisations, tenants_that_share_a_key_are_named_without_the_key) {
  const bool holds = rc::check([] {
    const auto keys_of = *rc::gen::container<std::vector<std::vector<int>>>(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(100, 200)));
    std::map<int, size_t> owners;
    std::vector<std::string> expected;
    std::string tenants;
    for (size_t tenant = 0; tenant < keys_of.size(); ++tenant) {
      std::string keys;
      for (const int key : keys_of[tenant]) {
        keys += fmt::format("{}\"secret-{}\"", keys.empty() ? "" : ",", key);
        const size_t owner = owners.emplace(key, tenant).first->second;
        if (owner != tenant) {
          expected.push_back(fmt::format(
              "tenants \"t{}\" and \"t{}\" have the same key", owner, tenant));
        }
      }
      tenants += fmt::format(R"({}{{"name":"t{}","api_keys":[{}]}})",
                             tenants.empty() ? "" : ",", tenant, keys);
    }
    RC_ASSERT(FaultsOf(DocumentWith("[" + tenants + "]")) == expected);
  });
  cr_assert(holds);
}

// Guards against permitting what needs a key, and against asking for one where
// none is needed.
Test(organisations, a_key_is_needed_except_for_live_requests_on_public_routes) {
  const OrganisationTable table(
      Decode(DocumentWith(R"([{"name":"a","api_keys":["k"]}])")));
  wire::Route closed;
  closed.set_kind(wire::ROUTE_IDEMPOTENT);
  wire::Route open = closed;
  open.set_public_access(true);
  wire::Route jobs = open;
  jobs.set_kind(wire::ROUTE_JOBS);
  for (const std::vector<std::string>& keys :
       {std::vector<std::string>{}, {""}, {"K"}, {"unknown", "k"}}) {
    const HttpRequest request = RequestWith(keys);
    cr_assert(!CheckCaller(table, request).permitted);
    cr_assert(!CheckCaller(table, request, closed).permitted);
    cr_assert(!CheckCaller(table, request, jobs).permitted);
    cr_assert(CheckCaller(table, request, open).permitted);
    cr_assert(CheckCaller(table, request, open).OrganisationName().empty());
  }
  for (const wire::Route& route : {closed, open, jobs}) {
    const CallerCheck check = CheckCaller(table, RequestWith({"k"}), route);
    cr_assert(check.permitted && check.OrganisationName() == "a");
  }
  const OrganisationTable none(Decode(DocumentWith("null")));
  cr_assert(CheckCaller(none, RequestWith({"k"})).permitted);
  cr_assert(CheckCaller(none, RequestWith({"k"})).OrganisationName().empty());
}

// Guards against a target that learns a key, or believes the name that a client
// stated.
Test(organisations, targets_get_the_name_and_neither_key_nor_claimed_name) {
  const HttpRequest request = RequestWith({"k", "k2"});
  const auto time = std::chrono::milliseconds(500);
  const HttpHeaders named =
      MakeTargetRequest(request, "i", time, {true, "a"}).headers;
  cr_assert(CountOf(named, "X-Api-Key") == 0);
  cr_assert(CountOf(named, "Tenant") == 1 && named.Get("Tenant") == "a");
  const HttpHeaders unnamed =
      MakeTargetRequest(request, "i", time, {true, ""}).headers;
  cr_assert(CountOf(unnamed, "X-Api-Key") == 0);
  cr_assert(CountOf(unnamed, "Tenant") == 0);
  const HttpHeaders unchanged =
      MakeTargetRequest(request, "i", time, {}).headers;
  cr_assert(CountOf(unchanged, "X-Api-Key") == 2);
  cr_assert(unchanged.Get("Tenant") == "victim");
  cr_assert(MakeRelayedRequest(request, time).headers.Get("X-Api-Key") == "k");
}

// The headers of an item come from the submission's body.
Test(organisations, engines_get_the_name_and_no_claimed_name) {
  wire::JobSample sample;
  sample.set_path("/s");
  for (const char* name : {"Tenant", "x-api-key", "Token-Counts"}) {
    wire::HeaderField& field = *sample.add_headers();
    field.set_name(name);
    field.set_value("1,2");
  }
  const auto run = [&](const RequestOrganisation& organisation) {
    return EncodeSampleRun(sample, "h", "i", 0, 0, std::chrono::seconds(1),
                           organisation)
        .headers;
  };
  cr_assert(run({true, "a"}).Get("Tenant") == "a");
  cr_assert(CountOf(run({true, "a"}), "X-Api-Key") == 0);
  cr_assert(CountOf(run({true, ""}), "Tenant") == 0);
  cr_assert(run({}).Get("Tenant") == "1,2");
  cr_assert(run({true, "a"}).Get("Token-Counts") == "1,2");
}

}  // namespace limpethatch::platform
