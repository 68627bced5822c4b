#include <string>

#include "control/control_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

// Whether the last news that the control instance sent lists i-1 as draining.
class Gateway {
 public:
  explicit Gateway(ControlFixture& fixture)
      : endpoint_(FreeEndpoint()),
        messenger_(fixture.io(), {}, [this](auto bytes) {
          wire::Envelope envelope;
          cr_assert(envelope.ParseFromArray(bytes.data(),
                                            static_cast<int>(bytes.size())));
          for (const auto& target : envelope.fleet_news().targets()) {
            draining = target.draining();
            ++records;
          }
        }) {
    cr_assert(!messenger_.Listen(endpoint_));
  }

  const Endpoint& endpoint() const { return endpoint_; }
  bool draining = false;
  int records = 0;

 private:
  const Endpoint endpoint_;
  Messenger messenger_;
};

}  // namespace

// Guards against other gateways using a target that told one of them that it is
// leaving, though it still announces itself as ready.
Test(leaving_target, a_report_of_one_gateway_reaches_the_others) {
  ControlFixture fixture;
  Gateway gateway(fixture);
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
  fixture.Watch("gateway", gateway.endpoint(), 0);
  fixture.RunUntil([&] { return gateway.records == 1; });
  cr_assert_not(gateway.draining);
  wire::Envelope report;
  report.mutable_request()->set_id(1);
  report.mutable_request()->set_reply_to(FreeEndpoint().ToString());
  report.mutable_request()->mutable_target_leaving()->set_target("i-1");
  report.mutable_request()->mutable_target_leaving()->set_incarnation(5);
  fixture.Receive(report);
  fixture.RunUntil([&] { return gateway.draining; });
}

}  // namespace limpethatch
