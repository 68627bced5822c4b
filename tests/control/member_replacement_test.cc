#include <algorithm>
#include <string>

#include "control/control_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kFirst = "127.0.0.2";
constexpr const char* kSecond = "127.0.0.3";
// Longer than an instance without digests counts as alive.
constexpr Duration kSilence = seconds(2);

bool IsMember(ControlFixture& fixture, const std::string& id) {
  const auto& members =
      fixture.service().replica().consensus()->members().members();
  return std::any_of(members.begin(), members.end(),
                     [&](const auto& member) { return member.id() == id; });
}

void ReceiveDigest(ControlFixture& fixture, const std::string& id) {
  wire::Envelope envelope;
  wire::ControlInstanceRecord& sender =
      *envelope.mutable_control_digest()->mutable_sender();
  sender.set_id(id);
  sender.set_name(id);
  sender.set_zone(id);
  sender.set_endpoint(Endpoint{id, 1}.ToString());
  sender.set_log_format(static_cast<uint32_t>(kNewestLogFormat));
  fixture.Receive(envelope);
}

void ReceiveSnapshotReply(ControlFixture& fixture, const std::string& id) {
  wire::Envelope envelope;
  envelope.mutable_consensus()->set_from(id);
  envelope.mutable_consensus()->mutable_snapshot_reply();
  fixture.Receive(envelope);
}

}  // namespace

// A member that received a snapshot sent no digests to a leader that did not
// serve. It counted as unresponsive and was replaced by an instance that needed
// the same snapshot.
Test(member_replacement,
     a_member_that_answers_snapshot_chunks_is_not_replaced,
     .timeout = 60) {
  ControlFixture fixture;
  ReceiveDigest(fixture, kFirst);
  ReceiveDigest(fixture, kSecond);
  fixture.RunUntil(
      [&] { return IsMember(fixture, kFirst) || IsMember(fixture, kSecond); });
  const std::string added = IsMember(fixture, kFirst) ? kFirst : kSecond;
  const std::string other = added == kFirst ? kSecond : kFirst;
  const TimePoint end = Clock::now() + kSilence;
  while (Clock::now() < end) {
    ReceiveSnapshotReply(fixture, added);
    ReceiveDigest(fixture, other);
    fixture.RunFor(milliseconds(100));
  }
  cr_assert(!IsMember(fixture, other));
}

}  // namespace limpethatch
