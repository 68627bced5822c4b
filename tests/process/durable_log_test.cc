#include "limpethatch/process/durable_log.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "process/memory_disk.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

constexpr uint64_t kDisk = 11;
constexpr uint64_t kFreshDisk = 12;
constexpr uint64_t kSession = 5;

wire::LogEntry Entry(uint64_t index, uint64_t term, std::string command) {
  wire::LogEntry entry;
  entry.set_index(index);
  entry.set_term(term);
  entry.set_command(std::move(command));
  return entry;
}

PersistAction Persist(uint64_t disk, std::vector<wire::LogEntry> entries) {
  PersistAction persist;
  persist.hard_state.set_term(1);
  persist.hard_state.set_disk(disk);
  persist.hard_state.set_boot(1);
  persist.entries = std::move(entries);
  return persist;
}

// A disk with `count` entries, each written and synced separately.
MemoryDisk Filled(uint64_t count) {
  MemoryDisk disk;
  DurableLog<MemoryDisk> log(disk);
  cr_assert(log.Open(kDisk, kSession).has_value());
  for (uint64_t i = 1; i <= count; ++i) {
    const PersistAction persist =
        Persist(kDisk, {Entry(i, 1, "command " + std::to_string(i))});
    cr_assert_not(log.Write({&persist, 1}));
  }
  return disk;
}

Result<DurableState> Reopen(MemoryDisk& disk) {
  return DurableLog<MemoryDisk>(disk).Open(kFreshDisk, kSession + 1);
}

// True if `entries` is a prefix of the entries that Filled wrote.
bool IsPrefix(const std::vector<wire::LogEntry>& entries) {
  for (size_t i = 0; i < entries.size(); ++i) {
    if (entries[i].index() != i + 1 ||
        entries[i].command() != "command " + std::to_string(i + 1)) {
      return false;
    }
  }
  return true;
}

}  // namespace

Test(durable_log, reads_back_what_was_synced_and_counts_its_starts) {
  MemoryDisk disk = Filled(5);
  const DurableState state = Reopen(disk).value();
  cr_assert_eq(state.entries.size(), 5);
  cr_assert(IsPrefix(state.entries));
  cr_assert_eq(state.hard_state.boot(), 2);
  cr_assert_eq(state.hard_state.disk(), kDisk);
}

Test(durable_log, cuts_a_torn_tail_at_every_length_and_keeps_its_identity) {
  const MemoryDisk whole = Filled(4);
  const size_t before = Filled(3).bytes("log").size();
  for (size_t size = before; size < MemoryDisk(whole).bytes("log").size();
       ++size) {
    MemoryDisk disk = whole;
    disk.bytes("log").resize(size);
    const DurableState state = Reopen(disk).value();
    cr_assert_eq(state.entries.size(), 3);
    cr_assert(IsPrefix(state.entries));
    cr_assert_eq(state.hard_state.disk(), kDisk);
  }
}

Test(durable_log, never_reads_a_flipped_bit_as_valid_nor_keeps_its_identity) {
  cr_assert(rc::check([] {
    MemoryDisk disk = Filled(6);
    std::string& bytes = disk.bytes("log");
    const size_t at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = static_cast<char>(bytes[at] ^ (1 << *rc::gen::inRange(0, 8)));
    const DurableState state = Reopen(disk).value();
    RC_ASSERT(IsPrefix(state.entries));
    RC_ASSERT(state.entries.size() < 6);
    RC_ASSERT(state.hard_state.disk() == kFreshDisk);
    RC_ASSERT(state.hard_state.lost());
    // The next start still reports the loss.
    RC_ASSERT(Reopen(disk).value().hard_state.lost());
  }));
}

Test(durable_log, any_bytes_are_read_without_a_crash_or_a_wrong_entry) {
  cr_assert(rc::check([] {
    MemoryDisk disk = Filled(6);
    std::string& bytes = disk.bytes("log");
    for (int edits = *rc::gen::inRange(1, 6); edits > 0; --edits) {
      const size_t at = *rc::gen::inRange<size_t>(0, bytes.size());
      const auto noise = *rc::gen::arbitrary<std::string>();
      bytes.replace(at, *rc::gen::inRange<size_t>(0, 80), noise);
    }
    const Result<DurableState> state = Reopen(disk);
    RC_ASSERT(state.has_value());
    RC_ASSERT(IsPrefix(state.value().entries));
  }));
  cr_assert(rc::check([](const std::string& noise) {
    RC_ASSERT(DecodeFrames(noise).records.empty());
    wire::ConsensusMessage message;
    message.ParseFromString(noise);
  }));
}

Test(durable_log, a_full_or_failing_disk_refuses_all_until_it_is_opened_again) {
  for (const bool full : {true, false}) {
    MemoryDisk disk;
    DurableLog<MemoryDisk> log(disk);
    cr_assert(log.Open(kDisk, kSession).has_value());
    const PersistAction first = Persist(kDisk, {Entry(1, 1, "command 1")});
    const PersistAction second = Persist(kDisk, {Entry(2, 1, "command 2")});
    cr_assert_not(log.Write({&first, 1}));
    disk.full = full;
    disk.fail_sync = !full;
    cr_assert(log.Write({&second, 1}));
    disk.full = disk.fail_sync = false;
    cr_assert(log.Write({&second, 1}) == StorageError::kPreviousWriteFailed);
    disk.Crash(0);
    const Result<DurableState> state = log.Open(kFreshDisk, kSession + 1);
    cr_assert_eq(state.value().entries.size(), 1);
    cr_assert_eq(state.value().hard_state.disk(), kDisk);
    cr_assert_not(log.Write({&second, 1}));
  }
}

Test(durable_log, a_snapshot_replaces_the_log_and_its_loss_is_detected) {
  for (const size_t tail : {0, 1}) {
    MemoryDisk disk;
    DurableLog<MemoryDisk> log(disk);
    cr_assert(log.Open(kDisk, kSession).has_value());
    PersistAction persist = Persist(kDisk, {});
    persist.entries.assign(tail, Entry(4, 2, "tail"));
    auto snapshot = std::make_shared<StateSnapshot>();
    snapshot->index = 3;
    snapshot->term = 2;
    snapshot->state = "state";
    persist.snapshot = snapshot;
    cr_assert_not(log.Write({&persist, 1}));

    MemoryDisk copy = disk;
    const DurableState state = Reopen(copy).value();
    cr_assert(state.snapshot->state.ToString() == "state");
    cr_assert_eq(state.entries.size(), tail);

    MemoryDisk without = disk;
    without.bytes("snapshot").clear();
    const DurableState lost = Reopen(without).value();
    cr_assert(lost.hard_state.lost());
    cr_assert_eq(lost.hard_state.disk(), kFreshDisk);
    cr_assert(lost.entries.empty());
  }
}

Test(durable_log, a_batch_is_written_with_one_sync) {
  MemoryDisk disk;
  DurableLog<MemoryDisk> log(disk);
  cr_assert(log.Open(kDisk, kSession).has_value());
  std::vector<PersistAction> batch;
  for (uint64_t i = 1; i <= 50; ++i) {
    batch.push_back(Persist(kDisk, {Entry(i, 1, "command")}));
  }
  cr_assert_not(log.Write(batch));
  cr_assert_eq(disk.syncs, 1);
}

Test(durable_log, a_later_format_is_refused) {
  MemoryDisk disk;
  std::vector<wire::LogRecord> records(1);
  records[0].mutable_header()->set_format(kLogFormat + 1);
  cr_assert_not(disk.Replace("log", EncodeFrame(records)));
  cr_assert(Reopen(disk).error() == StorageError::kUnknownFormat);
}

}  // namespace limpethatch
