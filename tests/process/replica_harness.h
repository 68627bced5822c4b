// Drives a single replica of a group of three with hand-made messages.
#ifndef TESTS_PROCESS_REPLICA_HARNESS_H_
#define TESTS_PROCESS_REPLICA_HARNESS_H_

#include <chrono>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "limpethatch/process/consensus.h"

namespace limpethatch {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr uint64_t kTerm = 4;

// Replica "a" of "a", "b" and "c", restarted in kTerm with one entry of term 2.
class ReplicaHarness {
 public:
  ReplicaHarness()
      : consensus(Options(), InitialState(), std::mt19937_64(1), kStart) {
    wire::ConsensusMessage known = MessageFrom("b", 0);
    known.mutable_greeting_reply()->set_disk(1);
    known.mutable_greeting_reply()->set_session(1);
    consensus.Receive(known, kStart);
    CollectActions(kStart);
  }

  static ConsensusOptions Options() {
    ConsensusOptions options;
    options.id = "a";
    return options;
  }

  static DurableState InitialState() {
    DurableState state;
    state.hard_state.set_term(kTerm);
    state.hard_state.set_disk(1);
    state.hard_state.set_session(1);
    uint64_t disk = 0;
    for (const char* id : {"a", "b", "c"}) {
      wire::Member& member =
          *state.hard_state.mutable_founders()->add_members();
      member.set_id(id);
      member.set_disk(++disk);
      member.set_voter(true);
    }
    state.entries.emplace_back().set_index(1);
    state.entries.back().set_term(2);
    state.entries.back().set_command("old");
    return state;
  }

  static wire::ConsensusMessage MessageFrom(const std::string& id,
                                            uint64_t term) {
    wire::ConsensusMessage message;
    message.set_from(id);
    message.set_term(term);
    message.set_disk(id == "b" ? 2 : 3);
    return message;
  }

  wire::ConsensusMessage VoteRequest(const std::string& id) {
    wire::ConsensusMessage message = MessageFrom(id, kTerm + 1);
    message.mutable_vote_request()->set_term(kTerm + 1);
    message.mutable_vote_request()->set_last_index(9);
    message.mutable_vote_request()->set_last_term(3);
    return message;
  }

  // Replaces `persisted` and `sent` by the actions that are due.
  void CollectActions(TimePoint now) {
    persisted.clear();
    sent.clear();
    for (ConsensusAction& action : consensus.TakeActions(now)) {
      if (auto* persist = std::get_if<PersistAction>(&action)) {
        persisted.push_back(std::move(*persist));
      } else if (auto* send = std::get_if<SendAction>(&action)) {
        sent.push_back(std::move(*send));
      }
    }
  }

  void CollectAndSync(TimePoint now) {
    CollectActions(now);
    if (!persisted.empty()) {
      consensus.OnPersisted(persisted.back().sequence, now);
    }
  }

  // Makes the replica leader by the votes of "b" and syncs its writes.
  TimePoint BecomeLeader() {
    TimePoint now = kStart;
    while (!consensus.leading()) {
      now += std::chrono::milliseconds(10);
      consensus.Tick(now);
      CollectAndSync(now);
      wire::ConsensusMessage vote = MessageFrom("b", consensus.term());
      vote.mutable_vote_reply()->set_granted(true);
      vote.mutable_vote_reply()->set_term(consensus.term());
      consensus.Receive(vote, now);
      vote.mutable_vote_reply()->set_trial(true);
      vote.mutable_vote_reply()->set_term(consensus.term() + 1);
      consensus.Receive(vote, now);
    }
    CollectAndSync(now);
    return now;
  }

  void ReceiveAppendReply(uint64_t match, TimePoint sent_at) {
    wire::ConsensusMessage reply = MessageFrom("b", consensus.term());
    reply.mutable_append_reply()->set_matched(true);
    reply.mutable_append_reply()->set_match(match);
    reply.mutable_append_reply()->set_sent_at(
        sent_at.time_since_epoch().count());
    consensus.Receive(reply, sent_at);
  }

  bool VoteGranted() const {
    return !sent.empty() && sent.back().message.vote_reply().granted();
  }

  Consensus consensus;
  std::vector<PersistAction> persisted;
  std::vector<SendAction> sent;
};

}  // namespace limpethatch

#endif  // TESTS_PROCESS_REPLICA_HARNESS_H_
