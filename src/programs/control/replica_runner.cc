#include "programs/control/replica_runner.h"

#include <boost/asio/post.hpp>
#include <optional>
#include <utility>

#include "envelope.pb.h"
#include "limpethatch/process/compression.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

constexpr int kTicksPerHeartbeat = 4;
constexpr Duration kDiskRetryDelay = std::chrono::seconds(1);
// A connection is reset after the peer has been silent for this long.
constexpr Duration kConnectionResetTimeout = std::chrono::seconds(2);

uint64_t RandomNonZeroId() {
  std::random_device device;
  uint64_t id = 0;
  while (id == 0) {
    id = (uint64_t{device()} << 32) | device();
  }
  return id;
}

const char* LogName(LogTail tail) {
  switch (tail) {
    case LogTail::kClean:
      return "clean";
    case LogTail::kTorn:
      return "torn tail, truncated";
    case LogTail::kDamaged:
      return "damaged tail, truncated";
    case LogTail::kCorrupt:
      return "corrupt, renamed to *.damaged";
  }
  return "unknown";
}

}  // namespace

ReplicaRunner::ReplicaRunner(boost::asio::io_context& io,
                             TimerService& timers,
                             Messenger& messenger,
                             const ControlSettings& settings,
                             Listener listener)
    : io_(io),
      timers_(timers),
      messenger_(messenger),
      settings_(settings),
      listener_(std::move(listener)),
      generator_(RandomNonZeroId()),
      ledgers_(std::make_unique<Ledgers>(settings.DispatchOptions())) {}

ReplicaRunner::~ReplicaRunner() = default;

std::error_code ReplicaRunner::Start() {
  for (const wire::Member& replica : settings_.replicas) {
    ParseEndpoint(replica.endpoint(), &endpoints_[replica.id()]);
  }
  if (std::error_code error = OpenReplica()) {
    return error;
  }
  timers_.Every(settings_.heartbeat / kTicksPerHeartbeat,
                [this](TimePoint now) { Tick(now); });
  return {};
}

std::error_code ReplicaRunner::OpenReplica() {
  const uint64_t generation = ++writer_generation_;
  writer_ = std::make_unique<DiskWriter>(
      settings_.data_folder,
      [this, generation](uint64_t sequence, std::error_code error) {
        boost::asio::post(io_, [this, generation, sequence, error] {
          OnSynced(generation, sequence, error);
        });
      });
  Result<DurableState> state =
      writer_->Open(RandomNonZeroId(), RandomNonZeroId());
  if (!state) {
    writer_.reset();
    return state.error();
  }
  const wire::HardState& hard_state = state.value().hard_state;
  Log(disk_failed_                             ? LogLevel::kDebug
      : writer_->log_tail() == LogTail::kClean ? LogLevel::kInfo
                                               : LogLevel::kWarning,
      "disk_opened",
      {{"log", LogName(writer_->log_tail())},
       {"boot", hard_state.boot()},
       {"term", hard_state.term()},
       {"entries", state.value().entries.size()}});
  ConsensusOptions options;
  options.id = settings_.process.id;
  options.replicas = settings_.replicas;
  options.heartbeat = settings_.heartbeat;
  options.election_timeout = settings_.election_timeout;
  options.replacement_disk_id = RandomNonZeroId();
  ledgers_ = std::make_unique<Ledgers>(settings_.DispatchOptions());
  consensus_ = std::make_unique<Consensus>(
      std::move(options), std::move(state.value()), generator_, Clock::now());
  for (const std::string& id : contacts_) {
    consensus_->AddContact(id);
  }
  ScheduleActions();
  return {};
}

void ReplicaRunner::OnSynced(uint64_t generation,
                             uint64_t sequence,
                             std::error_code error) {
  if (generation != writer_generation_ || !consensus_) {
    return;
  }
  if (error) {
    OnDiskFailure(error);
    return;
  }
  if (std::exchange(disk_failed_, false)) {
    Log(LogLevel::kInfo, "disk_usable", {{"failures", disk_failures_}});
    disk_failures_ = 0;
  }
  consensus_->OnPersisted(sequence, Clock::now());
  ScheduleActions();
}

void ReplicaRunner::OnDiskFailure(std::error_code error) {
  ++disk_failures_;
  if (!std::exchange(disk_failed_, true)) {
    Log(LogLevel::kError, "disk_failed", {{"error", error.message()}});
  }
  const bool was_leading = consensus_ && consensus_->leading();
  consensus_.reset();
  writer_.reset();
  if (was_leading) {
    listener_.on_leadership_change(false);
  }
  timers_.After(kDiskRetryDelay, [this](TimePoint) { ReopenDisk(); });
}

void ReplicaRunner::ReopenDisk() {
  if (std::error_code error = OpenReplica()) {
    OnDiskFailure(error);
  }
}

void ReplicaRunner::Tick(TimePoint now) {
  if (!consensus_) {
    return;
  }
  consensus_->Tick(now);
  ResetSilentConnections(now);
  ScheduleActions();
}

void ReplicaRunner::ResetSilentConnections(TimePoint now) {
  for (const auto& [id, endpoint] : endpoints_) {
    TimePoint& last_reset = last_reset_at_[id];
    if (id != settings_.process.id &&
        now - std::max(last_contact_at_[id], last_reset) >
            kConnectionResetTimeout) {
      last_reset = now;
      messenger_.Reset(endpoint, now - kConnectionResetTimeout);
    }
  }
}

void ReplicaRunner::Receive(const wire::ConsensusMessage& message) {
  if (!consensus_) {
    return;
  }
  const TimePoint now = Clock::now();
  last_contact_at_[message.from()] = now;
  consensus_->Receive(message, now);
  ScheduleActions();
}

Result<uint64_t> ReplicaRunner::Propose(std::string command) {
  if (!consensus_) {
    return make_error_code(ConsensusError::kNoLease);
  }
  Result<uint64_t> index =
      consensus_->Propose(CompressCommand(std::move(command)), Clock::now());
  ScheduleActions();
  return index;
}

std::error_code ReplicaRunner::ChangeMembers(
    const wire::MembersChange& change) {
  if (!consensus_) {
    return ConsensusError::kNoLease;
  }
  ScheduleActions();
  const TimePoint now = Clock::now();
  return change.has_add() ? consensus_->AddReplica(change.add().id(),
                                                   change.add().endpoint(), now)
                          : consensus_->RemoveReplica(change.remove(), now);
}

void ReplicaRunner::TransferLeadership() {
  if (consensus_) {
    consensus_->TransferLeadership(Clock::now());
    ScheduleActions();
  }
}

void ReplicaRunner::AddContact(const std::string& id,
                               const Endpoint& endpoint) {
  if (id == settings_.process.id) {
    return;
  }
  endpoints_[id] = endpoint;
  contacts_.insert(id);
  if (consensus_) {
    consensus_->AddContact(id);
  }
}

std::string ReplicaRunner::LeaderEndpoint() const {
  if (!consensus_) {
    return {};
  }
  const auto found = endpoints_.find(consensus_->leader());
  return found == endpoints_.end() ? std::string() : found->second.ToString();
}

TimePoint ReplicaRunner::LastContactAt(const std::string& id) const {
  const auto found = last_contact_at_.find(id);
  return found == last_contact_at_.end() ? TimePoint() : found->second;
}

void ReplicaRunner::ScheduleActions() {
  if (std::exchange(actions_scheduled_, true)) {
    return;
  }
  boost::asio::post(io_, [this] {
    actions_scheduled_ = false;
    ExecuteActions();
  });
}

void ReplicaRunner::ExecuteActions() {
  if (!consensus_) {
    return;
  }
  for (ConsensusAction& action : consensus_->TakeActions(Clock::now())) {
    std::visit([this](auto& typed) { Execute(typed); }, action);
  }
  CompactIfDue();
}

void ReplicaRunner::Execute(PersistAction& action) {
  writer_->Write(std::move(action));
}

void ReplicaRunner::Execute(SendAction& action) {
  wire::Envelope envelope;
  *envelope.mutable_consensus() = std::move(action.message);
  if (const auto found = endpoints_.find(action.to);
      found != endpoints_.end()) {
    messenger_.Send(found->second, envelope.SerializeAsString());
  }
}

void ReplicaRunner::Execute(ApplyAction& action) {
  if (!action.entry.has_command()) {
    return;
  }
  const std::optional<std::string> command =
      DecompressCommand(action.entry.command());
  if (!command) {
    // The checksum of the entry is valid, so that all replicas read the same
    // bytes and apply an empty command.
    Log(LogLevel::kError, "command_unreadable",
        {{"index", action.entry.index()}});
  }
  listener_.on_applied(
      action.entry.index(), action.entry.term(),
      ledgers_->Apply(action.entry.index(), command.value_or("")));
}

void ReplicaRunner::Execute(RestoreAction& action) {
  if (!ledgers_->Restore(action.snapshot->state)) {
    Log(LogLevel::kError, "snapshot_unreadable",
        {{"index", action.snapshot->index}});
  }
}

void ReplicaRunner::Execute(LeadershipAction& action) {
  Log(LogLevel::kInfo, action.leading ? "leading" : "not_leading",
      {{"term", action.term}});
  listener_.on_leadership_change(action.leading);
}

void ReplicaRunner::Execute(MembersAction& action) {
  for (const wire::Member& member : action.members.members()) {
    ParseEndpoint(member.endpoint(), &endpoints_[member.id()]);
    Log(LogLevel::kInfo, "member",
        {{"replica", member.id()},
         {"voting", member.voter() && member.disk() != 0}});
  }
}

void ReplicaRunner::Execute(RequestStateAction&) {
  const uint64_t applied = consensus_->applied_index();
  ByteRope state = ledgers_->Snapshot();
  Log(LogLevel::kInfo, "snapshot_provided",
      {{"index", applied}, {"bytes", state.size()}});
  consensus_->ProvideState(applied, std::move(state));
  ScheduleActions();
}

void ReplicaRunner::CompactIfDue() {
  const uint64_t applied = consensus_->applied_index();
  const ReplicatedLog& log = consensus_->log();
  if (!consensus_->compacting() && applied > log.snapshot_index() &&
      (applied - log.snapshot_index() >= settings_.snapshot_entries ||
       log.command_bytes() >= settings_.snapshot_bytes)) {
    consensus_->Compact(applied, ledgers_->Snapshot());
    ScheduleActions();
  }
}

}  // namespace limpethatch
