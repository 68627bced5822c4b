#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "control/control_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

constexpr int kGateways = 104;
constexpr int kRoutes = 1400;

// Counts the configurations that it receives, by version.
class FakeGateway {
 public:
  explicit FakeGateway(boost::asio::io_context& io)
      : endpoint_(FreeEndpoint()), messenger_(io, {}, [this](auto bytes) {
          wire::Envelope envelope;
          cr_assert(envelope.ParseFromArray(bytes.data(),
                                            static_cast<int>(bytes.size())));
          ++news;
          if (!envelope.fleet_news().packed_configuration().empty()) {
            ++configurations;
          }
        }) {
    cr_assert(!messenger_.Listen(endpoint_));
  }

  const Endpoint& endpoint() const { return endpoint_; }
  int news = 0;
  int configurations = 0;

 private:
  const Endpoint endpoint_;
  Messenger messenger_;
};

}  // namespace

// A leader sent a configuration with many routes to all gateways in one handler
// and meanwhile no heartbeat, so that it was deposed and changes waited.
Test(configuration_distribution, leaves_the_event_loop_free_in_between) {
  // What the link of a control machine carries within one heartbeat.
  constexpr uint64_t kMaxBytes = 600'000'000 / 8 / 20;
  ControlFixture fixture;
  fixture.PutConfiguration(1, 1);
  std::vector<Endpoint> gateways(kGateways, FreeEndpoint());
  for (int i = 0; i < kGateways; ++i) {
    gateways[static_cast<size_t>(i)].host = "127.0.1." + std::to_string(i + 1);
    fixture.Watch("gateway-" + std::to_string(i),
                  gateways[static_cast<size_t>(i)], 1);
  }
  const uint64_t before = fixture.bytes_sent();
  fixture.PutConfiguration(2, kRoutes);
  const uint64_t most =
      fixture.MostBytesOfOneHandler(std::chrono::milliseconds(500));
  cr_assert_gt(fixture.bytes_sent() - before, 0);
  cr_assert_leq(most, kMaxBytes);
}

// Gateways that waited for a large configuration asked again, and each time got
// all of it once more.
Test(configuration_distribution, a_gateway_that_asks_again_gets_one_copy) {
  ControlFixture fixture;
  fixture.PutConfiguration(1, kRoutes);
  FakeGateway gateway(fixture.io());
  constexpr int kRequests = 4;
  for (int i = 0; i < kRequests; ++i) {
    fixture.Watch("gateway", gateway.endpoint(), 0);
  }
  fixture.RunUntil(
      [&] { return gateway.news >= kRequests && gateway.configurations > 0; });
  cr_assert_eq(gateway.configurations, 1);
}

}  // namespace limpethatch
