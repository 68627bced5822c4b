#include "process/consensus_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpethatch {
namespace {

constexpr char kSeparator = '\n';

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line + kSeparator;
  }
  return text;
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> lines;
  for (size_t at = 0; at < text.size();) {
    const size_t end = text.find(kSeparator, at);
    lines.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return lines;
}

}  // namespace

ConsensusSimulation::ConsensusSimulation(size_t replicas,
                                         uint64_t seed,
                                         size_t founders)
    : random_(seed), nodes_(replicas) {
  // Clock rates differ by less than a tenth, as the lease assumes.
  std::uniform_real_distribution<double> rate(0.96, 1.04);
  for (size_t i = 0; i < replicas; ++i) {
    nodes_[i].id = fmt::format("control-{}", i + 1);
    nodes_[i].clock_rate = rate(random_);
    if (founders == 0 || i < founders) {
      members_.emplace_back().set_id(nodes_[i].id);
    }
  }
  for (size_t i = 0; i < replicas; ++i) {
    Start(i);
  }
}

TimePoint ConsensusSimulation::now(size_t replica) const {
  const double ticks =
      static_cast<double>(elapsed_.count()) * nodes_[replica].clock_rate;
  return TimePoint(std::chrono::hours(1) +
                   Duration(static_cast<Duration::rep>(ticks)));
}

void ConsensusSimulation::Start(size_t replica) {
  Node& node = nodes_[replica];
  if (node.consensus) {
    return;
  }
  node.log = std::make_unique<DurableLog<MemoryDisk>>(node.disk);
  Result<DurableState> state = node.log->Open(random_(), random_());
  if (!state) {
    return;
  }
  ConsensusOptions options;
  options.id = node.id;
  options.replicas = members_;
  options.replacement_disk_id = random_();
  // Small, so that replication takes many messages.
  options.snapshot_chunk_bytes = 64;
  options.max_append_bytes = 64;
  node.applied.clear();
  node.consensus =
      std::make_unique<Consensus>(options, std::move(state.value()),
                                  std::mt19937_64(random_()), now(replica));
}

void ConsensusSimulation::Crash(size_t replica) {
  Node& node = nodes_[replica];
  node.consensus.reset();
  node.log.reset();
  node.writes.clear();
  node.proposed.clear();
  node.frozen = false;
  node.disk.Crash(random_() % 64);
}

void ConsensusSimulation::Run(Duration time) {
  for (const Duration end = elapsed_ + time; elapsed_ < end;) {
    Step();
  }
}

void ConsensusSimulation::Step() {
  elapsed_ += kStep;
  Deliver();
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    if (node.consensus && !node.frozen) {
      FinishWrites(node);
    }
    if (node.consensus && !node.frozen) {
      node.consensus->Tick(now(i));
      TakeActions(i);
    }
  }
  CheckLeaders();
  CheckConfirmedStates();
}

void ConsensusSimulation::Deliver() {
  std::vector<Packet> due;
  std::erase_if(network_, [&](Packet& packet) {
    const Node& to = nodes_[packet.to];
    if (packet.due > elapsed_ || (to.frozen && to.consensus)) {
      return false;
    }
    due.push_back(std::move(packet));
    return true;
  });
  std::shuffle(due.begin(), due.end(), random_);
  for (const Packet& packet : due) {
    Node& to = nodes_[packet.to];
    if (to.consensus && !to.isolated) {
      to.consensus->Receive(packet.message, now(packet.to));
      TakeActions(packet.to);
    }
  }
}

void ConsensusSimulation::FinishWrites(Node& node) {
  std::vector<PersistAction> batch;
  while (!node.writes.empty() && node.writes.front().first <= elapsed_) {
    batch.push_back(std::move(node.writes.front().second));
    node.writes.pop_front();
  }
  if (batch.empty()) {
    return;
  }
  const size_t replica = IndexOf(node.id);
  if (node.log->Write(batch)) {
    Crash(replica);
    return;
  }
  node.consensus->OnPersisted(batch.back().sequence, now(replica));
}

void ConsensusSimulation::TakeActions(size_t replica) {
  Node& node = nodes_[replica];
  for (ConsensusAction& action : node.consensus->TakeActions(now(replica))) {
    if (auto* persist = std::get_if<PersistAction>(&action)) {
      node.writes.emplace_back(elapsed_ + node.sync_delay, std::move(*persist));
    } else if (const auto* send = std::get_if<SendAction>(&action)) {
      Transmit(replica, *send);
    } else if (const auto* apply = std::get_if<ApplyAction>(&action)) {
      Apply(replica, apply->entry);
    } else if (const auto* restore = std::get_if<RestoreAction>(&action)) {
      node.applied = Split(restore->snapshot->state.ToString());
    } else if (std::get_if<RequestStateAction>(&action)) {
      node.consensus->ProvideState(node.consensus->applied_index(),
                                   Join(node.applied));
    } else if (const auto* led = std::get_if<LeadershipAction>(&action)) {
      std::string& leader = leader_of_term_[led->term];
      if (led->leading && !leader.empty()) {
        RecordViolation(fmt::format("two leaders in term {}", led->term));
      }
      leader = node.id;
      node.proposed.clear();
    }
  }
}

void ConsensusSimulation::Transmit(size_t from, const SendAction& send) {
  const size_t to = IndexOf(send.to);
  if (to == nodes_.size() || nodes_[from].isolated || RandomBool(faults.loss)) {
    return;
  }
  for (int copies = RandomBool(faults.duplicate) ? 2 : 1; copies > 0;
       --copies) {
    const Duration delay(static_cast<Duration::rep>(
        random_() % static_cast<uint64_t>(faults.max_delay.count() + 1)));
    network_.push_back({elapsed_ + delay, from, to, send.message});
  }
}

void ConsensusSimulation::Apply(size_t replica, const wire::LogEntry& entry) {
  Node& node = nodes_[replica];
  const std::string content =
      fmt::format("{}:{}", entry.term(), entry.command());
  const auto [known, fresh] = history_.emplace(entry.index(), content);
  if (!fresh && known->second != content) {
    RecordViolation(fmt::format("index {} holds both {} and {}", entry.index(),
                                known->second, content));
  }
  if (!entry.has_command()) {
    return;
  }
  if (fresh) {
    commands_in_order_.push_back(entry.command());
  }
  node.applied.push_back(entry.command());
  const size_t last = node.applied.size() - 1;
  if (last >= commands_in_order_.size() ||
      commands_in_order_[last] != entry.command()) {
    RecordViolation(
        fmt::format("{} applied {} out of order", node.id, entry.command()));
  }
  const auto waiting = node.proposed.find(entry.index());
  if (waiting != node.proposed.end() &&
      waiting->second ==
          std::pair<uint64_t, std::string>(entry.term(), entry.command())) {
    acknowledged_.insert(entry.command());
    size_t& newest = acknowledged_by_time_[elapsed_];
    newest = std::max(newest, node.applied.size());
  }
}

bool ConsensusSimulation::Propose() {
  bool taken = false;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    taken |= ProposeAt(i).has_value();
  }
  return taken;
}

std::optional<std::string> ConsensusSimulation::ProposeAt(size_t replica) {
  Node& node = nodes_[replica];
  if (!node.consensus || node.frozen) {
    return std::nullopt;
  }
  const std::string command = fmt::format("c{}", ++commands_);
  const auto index = node.consensus->Propose(command, now(replica));
  if (!index) {
    return std::nullopt;
  }
  node.proposed[index.value()] = {node.consensus->term(), command};
  TakeActions(replica);
  return command;
}

void ConsensusSimulation::Compact(size_t replica) {
  Node& node = nodes_[replica];
  if (node.consensus && !node.frozen) {
    node.consensus->Compact(node.consensus->applied_index(),
                            Join(node.applied));
    TakeActions(replica);
  }
}

std::optional<size_t> ConsensusSimulation::Leader() const {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const Node& node = nodes_[i];
    if (node.consensus && !node.frozen && node.consensus->HoldsLease(now(i))) {
      return i;
    }
  }
  return std::nullopt;
}

bool ConsensusSimulation::HasRecovered() const {
  const std::optional<size_t> leader = Leader();
  return leader &&
         std::all_of(nodes_.begin(), nodes_.end(),
                     [&](const Node& node) {
                       return node.consensus && node.consensus->IsVoter() &&
                              node.applied.size() == commands_in_order_.size();
                     }) &&
         nodes_[*leader].consensus->commit_index() ==
             nodes_[*leader].consensus->log().last_index();
}

void ConsensusSimulation::CheckLeaders() {
  std::vector<std::string> holders;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    // A frozen process reads its clock only after it resumes.
    if (nodes_[i].consensus && !nodes_[i].frozen &&
        nodes_[i].consensus->HoldsLease(now(i))) {
      holders.push_back(nodes_[i].id);
    }
  }
  if (holders.size() > 1) {
    RecordViolation(
        fmt::format("{} and {} both hold the lease", holders[0], holders[1]));
  }
}

// A state that is confirmed as of some time holds every command that was
// acknowledged before it.
void ConsensusSimulation::CheckConfirmedStates() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const Node& node = nodes_[i];
    const std::optional<TimePoint> confirmed_at =
        node.consensus && !node.frozen
            ? node.consensus->StateConfirmedAt(now(i))
            : std::nullopt;
    if (!confirmed_at) {
      continue;
    }
    const Duration ticks =
        confirmed_at->time_since_epoch() - std::chrono::hours(1);
    const Duration confirmed(static_cast<Duration::rep>(
        static_cast<double>(ticks.count()) / node.clock_rate));
    const auto later = acknowledged_by_time_.lower_bound(confirmed);
    if (later != acknowledged_by_time_.begin() &&
        std::prev(later)->second > node.applied.size()) {
      RecordViolation(node.id + " confirms a state that lacks commands");
    }
  }
}

void ConsensusSimulation::CheckLogsMatch() {
  std::map<std::pair<uint64_t, uint64_t>, std::string> entries;
  for (const Node& node : nodes_) {
    if (!node.consensus) {
      continue;
    }
    const ReplicatedLog& log = node.consensus->log();
    uint64_t previous = log.snapshot() ? log.snapshot()->term : 0;
    for (uint64_t i = log.snapshot_index() + 1; i <= log.last_index(); ++i) {
      const wire::LogEntry& entry = log.At(i);
      const std::string content =
          fmt::format("{}>{}", previous, entry.command());
      const auto [known, fresh] =
          entries.emplace(std::pair(i, entry.term()), content);
      if (!fresh && known->second != content) {
        RecordViolation(fmt::format("logs differ at index {}", i));
      }
      previous = entry.term();
    }
  }
}

void ConsensusSimulation::CheckNothingLost() {
  for (const Node& node : nodes_) {
    const std::set<std::string> applied(node.applied.begin(),
                                        node.applied.end());
    if (!std::includes(applied.begin(), applied.end(), acknowledged_.begin(),
                       acknowledged_.end())) {
      RecordViolation(node.id + " lacks acknowledged commands");
    }
    if (applied.size() != node.applied.size()) {
      RecordViolation(node.id + " applied a command twice");
    }
  }
}

void ConsensusSimulation::RecordViolation(const std::string& what) {
  if (violation_.empty()) {
    violation_ =
        fmt::format("at {} ms: {}", elapsed_.count() / 1'000'000, what);
  }
}

size_t ConsensusSimulation::IndexOf(const std::string& id) const {
  const auto found =
      std::find_if(nodes_.begin(), nodes_.end(),
                   [&](const Node& node) { return node.id == id; });
  return static_cast<size_t>(found - nodes_.begin());
}

bool ConsensusSimulation::RandomBool(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

}  // namespace limpethatch
