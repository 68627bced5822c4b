#include "programs/entry/manifest_updater.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "limpethatch/process/log.h"
#include "limpethatch/version/manifest_reader.h"

namespace limpethatch {
namespace {

constexpr Duration kCheckPeriod = std::chrono::milliseconds(200);
constexpr Duration kFetchTimeout = std::chrono::seconds(2);

}  // namespace

ManifestUpdater::ManifestUpdater(EntryContext& context, Messenger& messenger)
    : context_(context), messenger_(messenger), adoption_(Clock::now()) {}

void ManifestUpdater::Start(TimerService& timers, const GossipNode& gossip) {
  timers.Every(kCheckPeriod, [this, &gossip](TimePoint now) {
    CheckForUpdate(*gossip.snapshot(), now);
  });
}

void ManifestUpdater::CheckForUpdate(const MembershipSnapshot& members,
                                     TimePoint now) {
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
  uint64_t stored_version = 0;
  UpdateAdoption([&](ManifestAdoption& adoption) {
    adoption.SetPeers(std::move(peer_addresses));
    adoption.Tick(newest, now);
    stored_version = adoption.version();
  });
  if ((stored_version > 0 && newest <= stored_version) ||
      fetching_.exchange(true)) {
    return;
  }
  Spawn(context_.io, [this, stored_version](Yield yield) {
    Fetch(yield, stored_version);
    fetching_ = false;
  });
}

void ManifestUpdater::Fetch(Yield yield, uint64_t stored_version) {
  const Result<wire::ManifestReply> reply = context_.control.FetchManifest(
      yield, stored_version, Clock::now() + kFetchTimeout);
  if (reply && !reply.value().manifest().empty()) {
    UpdateAdoption([&](ManifestAdoption& adoption) {
      adoption.Store(reply.value().version(), reply.value().manifest());
    });
  }
}

void ManifestUpdater::OnNote(const wire::ManifestNote& note) {
  UpdateAdoption([&](ManifestAdoption& adoption) {
    adoption.Receive(
        {note.from(), note.version(), note.manifest(), note.answer()});
  });
}

void ManifestUpdater::UpdateAdoption(
    const std::function<void(ManifestAdoption&)>& change) {
  std::scoped_lock lock(mutex_);
  change(adoption_);
  for (const ManifestNote& note : adoption_.TakeNotes()) {
    Send(note);
  }
  if (adoption_.MayActivate() &&
      adoption_.version() > context_.CurrentManifest()->version) {
    Activate(adoption_.version(), adoption_.manifest());
  }
}

uint64_t ManifestUpdater::stored_version() const {
  std::scoped_lock lock(mutex_);
  return adoption_.version();
}

void ManifestUpdater::Send(const ManifestNote& note) {
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

void ManifestUpdater::Activate(uint64_t version, const std::string& text) {
  JsonFaults faults;
  auto next = std::make_shared<ActiveManifest>();
  next->version = version;
  next->text = text;
  next->manifest = ReadManifest(text, faults);
  if (!faults.empty()) {
    Log(LogLevel::kError, "manifest_invalid",
        {{"version", version}, {"fault", faults.front().ToString()}});
    return;
  }
  context_.manifest.Update([&](const ManifestPtr& current) {
    const bool newer = version > current->version;
    for (const auto& [service, declared] : next->manifest.services) {
      const auto existing = current->meters.find(service);
      next->meters[service] = existing == current->meters.end()
                                  ? std::make_shared<ServiceMeter>(Clock::now())
                                  : existing->second;
    }
    return std::make_unique<ManifestPtr>(newer ? ManifestPtr(next) : current);
  });
  Log(LogLevel::kInfo, "manifest_in_force", {{"version", version}});
}

}  // namespace limpethatch
