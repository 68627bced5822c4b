#include "limpethatch/connection/gossip_node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "envelope.pb.h"

namespace limpethatch {
namespace {

// The minimum interval between snapshots in which only loads changed.
constexpr Duration kLoadPublishPeriod = std::chrono::milliseconds(300);

}  // namespace

GossipNode::GossipNode(Messenger& messenger,
                       MembershipOptions options,
                       MarkRules mark_rules,
                       uint64_t seed,
                       GossipCallbacks callbacks)
    : messenger_(messenger),
      callbacks_(std::move(callbacks)),
      membership_(std::move(options),
                  std::move(mark_rules),
                  std::mt19937_64(seed),
                  Clock::now()),
      snapshot_(std::make_shared<const MembershipSnapshot>()) {}

void GossipNode::Start(TimerService& timers) {
  timers.Every(Membership::kTickPeriod, [this](TimePoint) {
    Apply([](Membership& membership, TimePoint now) { membership.Tick(now); });
  });
}

void GossipNode::OnGossip(const wire::GossipMessage& message) {
  Apply([&](Membership& membership, TimePoint now) {
    membership.Receive(message, now);
  });
}

void GossipNode::Announce(const Announcement& announcement) {
  Apply([&](Membership& membership, TimePoint now) {
    membership.Announce(announcement, now);
  });
}

void GossipNode::Leave() {
  Apply([](Membership& membership, TimePoint now) { membership.Leave(now); });
}

void GossipNode::SetManifestVersion(uint64_t version) {
  Apply([&](Membership& membership, TimePoint) {
    membership.SetManifestVersion(version);
  });
}

void GossipNode::AddMark(const std::string& key, std::string_view value) {
  Apply([&](Membership& membership, TimePoint now) {
    membership.AddMark(key, value, now);
  });
}

void GossipNode::ReportReachability(const std::string& id, bool reachable) {
  Apply([&](Membership& membership, TimePoint now) {
    membership.ReportReachability(id, reachable, now);
  });
}

std::optional<std::string> GossipNode::Mark(const std::string& key) const {
  std::scoped_lock lock(mutex_);
  return membership_.Mark(key);
}

std::shared_ptr<const MembershipSnapshot> GossipNode::snapshot() const {
  return snapshot_.load();
}

void GossipNode::Apply(
    const std::function<void(Membership&, TimePoint)>& change) {
  MembershipOutput output;
  {
    std::scoped_lock lock(mutex_);
    const TimePoint now = Clock::now();
    change(membership_, now);
    output = membership_.TakeOutput();
    loads_changed_ |= output.loads_changed;
    if (output.members_changed || output.manifest_version_advanced ||
        (loads_changed_ && now - published_at_ >= kLoadPublishPeriod)) {
      Publish(now);
    }
    for (const std::string& key : output.changed_marks) {
      if (const auto value = membership_.Mark(key)) {
        callbacks_.on_mark(key, *value);
      }
    }
  }
  Send(output);
}

void GossipNode::Publish(TimePoint now) {
  auto snapshot = std::make_shared<MembershipSnapshot>();
  snapshot->members = membership_.Members(now);
  std::sort(snapshot->members.begin(), snapshot->members.end(),
            [](const MemberView& a, const MemberView& b) {
              return a.info.id < b.info.id;
            });
  snapshot->manifest_version = membership_.manifest_version();
  snapshot->taken_at = now;
  published_at_ = now;
  loads_changed_ = false;
  snapshot_.store(snapshot);
  callbacks_.on_members(std::move(snapshot));
}

void GossipNode::Send(const MembershipOutput& output) {
  for (const Endpoint& peer : output.unresponsive_peers) {
    messenger_.Reset(peer);
  }
  for (const GossipSend& send : output.sends) {
    wire::Envelope envelope;
    *envelope.mutable_gossip() = send.message;
    const std::string bytes = envelope.SerializeAsString();
    for (const Endpoint& peer : send.to) {
      messenger_.Send(peer, bytes);
    }
  }
}

}  // namespace limpethatch
