#include "limpethatch/process/replicated_log.h"

#include <algorithm>
#include <utility>

namespace limpethatch {

ReplicatedLog::ReplicatedLog(SharedSnapshot snapshot,
                             std::vector<wire::LogEntry> entries) {
  if (snapshot) {
    Install(std::move(snapshot));
  }
  for (wire::LogEntry& entry : entries) {
    Append(std::move(entry));
  }
}

uint64_t ReplicatedLog::snapshot_index() const {
  return snapshot_ ? snapshot_->index : 0;
}

std::optional<uint64_t> ReplicatedLog::TermAt(uint64_t index) const {
  if (index == snapshot_index()) {
    return snapshot_ ? snapshot_->term : 0;
  }
  if (index < snapshot_index() || index > last_index()) {
    return std::nullopt;
  }
  return At(index).term();
}

const wire::LogEntry& ReplicatedLog::At(uint64_t index) const {
  return entries_[index - snapshot_index() - 1];
}

std::vector<wire::LogEntry> ReplicatedLog::Range(uint64_t first,
                                                 uint64_t last) const {
  std::vector<wire::LogEntry> range;
  for (uint64_t index = first; index <= last; ++index) {
    range.push_back(At(index));
  }
  return range;
}

void ReplicatedLog::Append(wire::LogEntry entry) {
  if (entry.has_members()) {
    members_[entry.index()] = entry.members();
  }
  command_bytes_ += entry.command().size();
  entries_.push_back(std::move(entry));
}

void ReplicatedLog::TruncateFrom(uint64_t index) {
  members_.erase(members_.lower_bound(index), members_.end());
  const uint64_t kept = std::max(index, snapshot_index() + 1);
  const size_t remaining_entries =
      std::min<size_t>(entries_.size(), kept - snapshot_index() - 1);
  while (entries_.size() > remaining_entries) {
    command_bytes_ -= entries_.back().command().size();
    entries_.pop_back();
  }
}

void ReplicatedLog::DropSnapshotState() {
  if (!snapshot_ || snapshot_->state.empty()) {
    return;
  }
  snapshot_ = std::make_shared<StateSnapshot>(
      StateSnapshot{snapshot_->index, snapshot_->term, snapshot_->members, {}});
}

void ReplicatedLog::Install(SharedSnapshot snapshot) {
  if (TermAt(snapshot->index) == snapshot->term) {
    for (uint64_t covered = snapshot->index - snapshot_index(); covered > 0;
         --covered) {
      command_bytes_ -= entries_.front().command().size();
      entries_.pop_front();
    }
  } else {
    entries_.clear();
    command_bytes_ = 0;
    members_.clear();
  }
  members_.erase(members_.begin(), members_.upper_bound(snapshot->index));
  if (snapshot->members) {
    members_[snapshot->index] = *snapshot->members;
  }
  snapshot_ = std::move(snapshot);
}

const wire::Members* ReplicatedLog::members() const {
  return members_.empty() ? nullptr : &members_.rbegin()->second;
}

uint64_t ReplicatedLog::members_index() const {
  return members_.empty() ? 0 : members_.rbegin()->first;
}

}  // namespace limpethatch
