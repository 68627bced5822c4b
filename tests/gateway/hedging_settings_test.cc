#include "programs/gateway/gateway_settings.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

struct ReadResult {
  GatewaySettings settings;
  size_t faults = 0;
};

ReadResult Read(const std::string& hedging) {
  const std::string text = R"({
"id": "gateway-1",
"zone": "z",
"listen": {
"callers": "127.0.0.1:8100",
"readiness": "127.0.0.1:8101",
"peers": "127.0.0.1:8102",
"relay": "127.0.0.1:8103",
"metrics": "127.0.0.1:8104"
},
)" + hedging + R"("seeds": ["127.0.0.1:8102"]
})";
  JsonFaults faults;
  const JsonDocument document(text, faults);
  cr_assert(faults.empty());
  JsonReader reader(document, faults);
  ReadResult result;
  result.settings.ReadFrom(reader);
  reader.RejectUnknown();
  result.faults = faults.size();
  return result;
}

}  // namespace

// Guards against a limit for deployments that did not set one.
Test(hedging_settings, hedging_is_absent_by_default) {
  const ReadResult result = Read("");
  cr_assert_eq(result.faults, 0);
  cr_assert(!result.settings.hedging);
}

Test(hedging_settings, the_share_is_required_and_bounded) {
  const ReadResult stop = Read(R"("hedging": {"extra_work": 0},)");
  cr_assert_eq(stop.faults, 0);
  cr_assert(stop.settings.hedging && stop.settings.hedging->extra_work == 0);
  cr_assert_eq(Read(R"("hedging": {"extra_work": 0.02},)").faults, 0);
  for (const char* wrong :
       {R"("hedging": {},)", R"("hedging": {"extra_work": -0.1},)",
        R"("hedging": {"extra_work": 2},)", R"("hedging": 0.02,)",
        R"("hedging": {"extra_work": 0.02, "share": 1},)"}) {
    cr_assert(Read(wrong).faults > 0, "%s", wrong);
  }
}

}  // namespace limpethatch
