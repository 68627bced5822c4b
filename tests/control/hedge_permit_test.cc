#include "control/control_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

// A gateway that asks the control instance for permits.
class AskingGateway {
 public:
  explicit AskingGateway(ControlFixture& fixture)
      : fixture_(fixture),
        endpoint_(FreeEndpoint()),
        messenger_(fixture.io(), {}, [this](auto bytes) {
          wire::Envelope envelope;
          cr_assert(envelope.ParseFromArray(bytes.data(),
                                            static_cast<int>(bytes.size())));
          if (envelope.has_reply()) {
            reply_ = envelope.reply();
          }
        }) {
    cr_assert(!messenger_.Listen(endpoint_));
  }

  bool Ask(uint64_t earned_ms, uint64_t expected_ms, uint64_t overrun_ms = 0) {
    wire::Envelope envelope;
    wire::ControlRequest& request = *envelope.mutable_request();
    request.set_reply_to(endpoint_.ToString());
    wire::HedgePermitQuery& query = *request.mutable_hedge_permit();
    query.set_route("lookup");
    query.set_earned_ms(earned_ms);
    query.set_expected_ms(expected_ms);
    query.set_overrun_ms(overrun_ms);
    query.set_extra_work(0.02);
    do {  // A new leader answers only once it has applied its log.
      request.set_id(reply_.id() + 1);
      fixture_.Receive(envelope);
      fixture_.RunUntil([&] { return reply_.id() == request.id(); });
    } while (reply_.outcome() == wire::ControlReply::UNAVAILABLE);
    cr_assert(reply_.has_hedge_permit());
    return reply_.hedge_permit().granted();
  }

 private:
  ControlFixture& fixture_;
  const Endpoint endpoint_;
  Messenger messenger_;
  wire::ControlReply reply_;
};

}  // namespace

// Guards against a limit for each gateway, which would multiply the extra work.
Test(hedge_permit, gateways_share_one_budget) {
  ControlFixture fixture;
  AskingGateway first(fixture);
  AskingGateway second(fixture);
  cr_assert(!first.Ask(0, 20), "the budget did not start empty");
  cr_assert(first.Ask(2000, 20));
  cr_assert(second.Ask(0, 20));
  cr_assert(!first.Ask(0, 20), "40 ms were earned, and 60 ms granted");
  cr_assert(!second.Ask(2000, 20, 30));
  cr_assert(first.Ask(500, 20), "10 ms were left");
}

// A time that overflows a sum would turn a debt into budget.
Test(hedge_permit, absurd_times_grant_no_more_than_their_bound) {
  ControlFixture fixture;
  AskingGateway gateway(fixture);
  cr_assert(!gateway.Ask(1000, 20, UINT64_MAX));
  cr_assert(!gateway.Ask(1000, 20));
  cr_assert(!gateway.Ask(UINT64_MAX, UINT64_MAX));
}

}  // namespace limpethatch
