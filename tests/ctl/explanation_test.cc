#include "programs/ctl/explanation.h"

#include <string>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

// Shortened excerpts of logs from test runs.
constexpr const char* kGateway =
    R"({"time":"2026-03-02T05:03:21.100Z","level":"info","program":"limpethatch-gateway","instance":"front-1","event":"attempt_failed","request":"2656157034dfb94f","target":"i-c906e4f498","incarnation":1782770328590,"ran":"not_run","reason":"could not connect"}
{"time":"2026-03-02T05:03:21.253Z","level":"warning","program":"limpethatch-gateway","instance":"front-1","event":"given_up","request":"2656157034dfb94f","route":"r-1","service":"desk","reason":"targets_full","ran":"not_run","attempts":2,"targets":12,"after_ms":160}
{"time":"2026-03-02T05:03:22.001Z","level":"info","program":"limpethatch-gateway","instance":"front-1","event":"refused","request":"other","path":"/x","status":404,"reason":"no route"}
)";

constexpr const char* kLeader =
    R"({"time":"2026-06-29T21:58:52.001Z","level":"info","program":"limpethatch-control","instance":"10.1.0.27","event":"weights_ordered","target":"i-f9129ef0ca","model":"coach","weights":2,"term":2,"orders_before":1,"outcome":"accepted"}
{"time":"2026-06-29T21:58:52.000Z","level":"info","program":"limpethatch-control","instance":"10.1.0.27","event":"sample_started","job":"cf7cf63392e39887","sample":"94d73e46ac533373","target":"i-f9129ef0ca","weights":1,"after_event":0}
{"time":"2026-06-29T21:58:53.260Z","level":"info","program":"limpethatch-control","instance":"10.1.0.27","event":"sample_stopped","job":"cf7cf63392e39887","sample":"94d73e46ac533373","target":"i-f9129ef0ca","reason":"slow_engine"}
not a line of ours
)";

constexpr const char* kOther =
    R"({"time":"2026-06-29T21:59:36.000Z","level":"info","program":"limpethatch-control","instance":"10.2.0.30","event":"configuration_put","version":33,"outcome":"uncertain"}
{"time":"2026-06-29T21:59:43.000Z","level":"info","program":"limpethatch-control","instance":"10.2.0.30","event":"configuration_in_force","version":33}
)";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

Test(explanation, refused_request_is_traced_to_its_targets) {
  const Explanation explanation =
      Explain("2656157034dfb94f", {kLeader, kGateway});
  cr_assert(explanation.events.size() == 2);
  cr_assert(explanation.events[0].event == "attempt_failed");
  cr_assert(Contains(explanation.cause, "every target of its service"), "%s",
            explanation.cause.c_str());
  cr_assert(Contains(explanation.cause, "not_run"));
}

Test(explanation, late_sample_includes_the_weight_orders_of_its_engine) {
  const Explanation explanation =
      Explain("94d73e46ac533373", {kGateway, kLeader});
  cr_assert(explanation.events.size() == 3);
  cr_assert(explanation.events[1].event == "weights_ordered");
  cr_assert(Contains(explanation.cause, "became slow"));
  cr_assert(explanation.unparsed_lines == 1);
  cr_assert(Contains(ToText(explanation), "after_event=0"));
}

Test(explanation, unanswered_change_is_shown_to_be_in_force) {
  const Explanation explanation = Explain("configuration/33", {kOther});
  cr_assert(explanation.events.size() == 2);
  cr_assert(Contains(explanation.cause, "not known when the caller"));
  cr_assert(explanation.events[1].event == "configuration_in_force");
}

Test(explanation, unknown_id_is_reported_as_unknown) {
  cr_assert(Contains(Explain("nobody", {kGateway}).cause, "No line"));
  cr_assert(Contains(Explain("x", {}).cause, "No line"));
}

}  // namespace limpethatch
