#include <string>

#include "control/target_news.h"

#include <criterion/criterion.h>

namespace limpethatch {

// Guards against other gateways using a target that told one of them that it is
// leaving, though it still announces itself as ready.
Test(leaving_target, a_report_of_one_gateway_reaches_the_others) {
  ControlFixture fixture;
  wire::Envelope digest;
  digest.mutable_control_digest()->mutable_sender()->set_id("127.0.0.9");
  digest.mutable_control_digest()->mutable_sender()->set_endpoint(
      FreeEndpoint().ToString());
  wire::TargetRecord& target = *digest.mutable_control_digest()->add_targets();
  target.set_id("i-1");
  target.set_service("desk");
  target.set_address("127.0.0.8:80");
  target.set_born_ms(5);
  target.set_sequence(1);
  fixture.Receive(digest);
  TargetNews news(fixture);
  fixture.RunUntil([&] { return news.targets.contains("i-1"); });
  cr_assert_not(news.targets["i-1"].draining());
  wire::Envelope report;
  report.mutable_request()->set_id(1);
  report.mutable_request()->set_reply_to(FreeEndpoint().ToString());
  report.mutable_request()->mutable_target_leaving()->set_target("i-1");
  report.mutable_request()->mutable_target_leaving()->set_incarnation(5);
  fixture.Receive(report);
  fixture.RunUntil([&] { return news.targets["i-1"].draining(); });
}

}  // namespace limpethatch
