#include <string>

#include "control/control_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

// A peer of the control instance: another one, or a gateway that asks it.
class Peer {
 public:
  explicit Peer(boost::asio::io_context& io)
      : endpoint_(FreeEndpoint()), messenger_(io, {}, [this](auto bytes) {
          wire::Envelope envelope;
          cr_assert(envelope.ParseFromArray(bytes.data(),
                                            static_cast<int>(bytes.size())));
          if (envelope.has_reply()) {
            reply = envelope.reply();
          }
          for (const wire::StreamOrigin& origin :
               envelope.control_digest().stream_origins()) {
            told += origin.attempt() + "=" + origin.software_version() + " ";
          }
        }) {
    cr_assert(!messenger_.Listen(endpoint_));
  }

  const Endpoint& endpoint() const { return endpoint_; }
  wire::ControlReply reply;  // The latest.
  std::string told;          // Stream origins in digests.

 private:
  const Endpoint endpoint_;
  Messenger messenger_;
};

// The software version that the control instance knows for `attempt`.
std::string Ask(ControlFixture& fixture,
                Peer& gateway,
                const std::string& attempt) {
  wire::Envelope envelope;
  envelope.mutable_request()->set_id(gateway.reply.id() + 1);
  envelope.mutable_request()->set_reply_to(gateway.endpoint().ToString());
  envelope.mutable_request()->mutable_stream_origin()->set_attempt(attempt);
  fixture.Receive(envelope);
  fixture.RunUntil(
      [&] { return gateway.reply.id() == envelope.request().id(); });
  cr_assert(gateway.reply.has_stream_origin());
  return gateway.reply.stream_origin().known()
             ? gateway.reply.stream_origin().software_version()
             : "unknown";
}

}  // namespace

Test(stream_origin, the_leader_remembers_a_stream_and_tells_its_peers) {
  ControlFixture fixture;
  Peer gateway(fixture.io());
  Peer control(fixture.io());
  wire::Envelope digest;
  wire::ControlInstanceRecord& sender =
      *digest.mutable_control_digest()->mutable_sender();
  sender.set_id("127.0.0.9");
  sender.set_endpoint(control.endpoint().ToString());
  fixture.Receive(digest);
  cr_assert(Ask(fixture, gateway, "a") == "unknown");
  wire::Envelope report;
  report.mutable_request()->set_id(gateway.reply.id() + 1);
  report.mutable_request()->set_reply_to(gateway.endpoint().ToString());
  report.mutable_request()->mutable_stream_begun()->set_attempt("a");
  report.mutable_request()->mutable_stream_begun()->set_software_version("v1");
  fixture.Receive(report);
  fixture.RunUntil([&] { return !control.told.empty(); });
  cr_assert(control.told == "a=v1 ", "%s", control.told.c_str());
  cr_assert(Ask(fixture, gateway, "a") == "v1");
}

// A new leader did not know the streams of which its predecessor had been told.
Test(stream_origin, a_stream_told_by_a_peer_is_known) {
  ControlFixture fixture;
  Peer gateway(fixture.io());
  wire::Envelope digest;
  digest.mutable_control_digest()->mutable_sender()->set_id("127.0.0.9");
  digest.mutable_control_digest()->mutable_sender()->set_endpoint(
      FreeEndpoint().ToString());
  wire::StreamOrigin& origin =
      *digest.mutable_control_digest()->add_stream_origins();
  origin.set_attempt("b");
  origin.set_software_version("v2");
  fixture.Receive(digest);
  cr_assert(Ask(fixture, gateway, "b") == "v2");
}

}  // namespace limpethatch
