#include "programs/entry/manifest_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "limpethatch/process/log.h"
#include "limpethatch/version/manifest_reader.h"

namespace limpethatch {
namespace {

constexpr Duration kLookPeriod = std::chrono::milliseconds(200);
constexpr Duration kFetchTime = std::chrono::seconds(2);

}  // namespace

ManifestFollower::ManifestFollower(EntryContext& context, Messenger& messenger)
    : context_(context), messenger_(messenger), adoption_(Clock::now()) {}

void ManifestFollower::Start(TimerService& timers, const GossipNode& gossip) {
  timers.Every(kLookPeriod, [this, &gossip](TimePoint now) {
    Look(*gossip.snapshot(), now);
  });
}

void ManifestFollower::Look(const MembershipSnapshot& members, TimePoint now) {
  std::vector<std::string> peer_addresses;
  for (const MemberView& member : members.members) {
    if (member.info.kind == MemberKind::kInstance &&
        member.info.zone == context_.settings.process.zone) {
      peer_addresses.push_back(member.info.address);
    }
  }
  uint64_t newest = members.manifest_version;
  if (const std::optional<ControlNews> news = context_.control.news()) {
    newest = std::max(newest, news->reply.manifest_version());
  }
  uint64_t held = 0;
  Run([&](ManifestAdoption& adoption) {
    adoption.SetPeers(std::move(peer_addresses));
    adoption.Tick(newest, now);
    held = adoption.version();
  });
  if ((held > 0 && newest <= held) || fetching_.exchange(true)) {
    return;
  }
  Spawn(context_.io, [this, held](Yield yield) {
    Fetch(yield, held);
    fetching_ = false;
  });
}

void ManifestFollower::Fetch(Yield yield, uint64_t held) {
  const Result<wire::ManifestReply> reply =
      context_.control.FetchManifest(yield, held, Clock::now() + kFetchTime);
  if (reply && !reply.value().manifest().empty()) {
    Run([&](ManifestAdoption& adoption) {
      adoption.Store(reply.value().version(), reply.value().manifest());
    });
  }
}

void ManifestFollower::OnNote(const wire::ManifestNote& note) {
  Run([&](ManifestAdoption& adoption) {
    adoption.Receive(
        {note.from(), note.version(), note.manifest(), note.answer()});
  });
}

void ManifestFollower::Run(
    const std::function<void(ManifestAdoption&)>& change) {
  std::scoped_lock lock(mutex_);
  change(adoption_);
  for (const ManifestNote& note : adoption_.TakeNotes()) {
    Send(note);
  }
  if (adoption_.MayActivate() &&
      adoption_.version() > context_.CurrentManifest()->version) {
    Adopt(adoption_.version(), adoption_.manifest());
  }
}

uint64_t ManifestFollower::held() const {
  std::scoped_lock lock(mutex_);
  return adoption_.version();
}

void ManifestFollower::Send(const ManifestNote& note) {
  Endpoint peer;
  if (!ParseEndpoint(note.peer, &peer)) {
    return;
  }
  wire::Envelope envelope;
  wire::ManifestNote& sent = *envelope.mutable_manifest_note();
  sent.set_from(context_.settings.peers.ToString());
  sent.set_version(note.version);
  sent.set_manifest(note.manifest);
  sent.set_answer(note.answer);
  messenger_.Send(peer, envelope.SerializeAsString());
}

void ManifestFollower::Adopt(uint64_t version, const std::string& text) {
  JsonFaults faults;
  auto next = std::make_shared<ManifestInForce>();
  next->version = version;
  next->text = text;
  next->manifest = ReadManifest(text, faults);
  if (!faults.empty()) {
    Log(LogLevel::kError, "manifest_unreadable",
        {{"version", version}, {"fault", faults.front().ToString()}});
    return;
  }
  context_.manifest.Update([&](const ManifestPtr& current) {
    const bool newer = version > current->version;
    for (const auto& [service, declared] : next->manifest.services) {
      const auto kept = current->meters.find(service);
      next->meters[service] = kept == current->meters.end()
                                  ? std::make_shared<ServiceMeter>(Clock::now())
                                  : kept->second;
    }
    return std::make_unique<ManifestPtr>(newer ? ManifestPtr(next) : current);
  });
  Log(LogLevel::kInfo, "manifest_in_force", {{"version", version}});
}

}  // namespace limpethatch
