// Which entry instances are alive, as the leader hears of them.
#ifndef LIMPETHATCH_PROCESS_SESSION_TABLE_H_
#define LIMPETHATCH_PROCESS_SESSION_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// "INSTANCE#INCARNATION": how commands name a holder.
std::string HolderName(const std::string& instance, uint64_t incarnation);

class SessionTable {
 public:
  struct Session {
    uint64_t incarnation = 0;
    TimePoint last_contact_at;
    std::string zone;
    uint64_t manifest_version = 0;
    uint64_t oldest_open = 0;  // Requests with lower ids are over.
  };

  // A session that is silent for `timeout` is over.
  explicit SessionTable(Duration timeout) : timeout_(timeout) {}

  // Starts over with the holders that the ledgers know: each has the whole
  // timeout to be heard of.
  void Reset(const std::set<std::string>& holders, TimePoint now);

  // A sign of life. One of an earlier incarnation than the latest is void.
  void RecordContact(const std::string& instance,
                     uint64_t incarnation,
                     TimePoint now);
  // True if the request `id` came late: the instance has said since that all
  // before `oldest_open` are over. For a session that was heard.
  bool IsStaleRequest(const std::string& instance,
                      uint64_t incarnation,
                      uint64_t id,
                      uint64_t oldest_open);
  // What a hello says besides; for a session that was heard.
  void SetDetails(const std::string& instance,
                  std::string zone,
                  uint64_t manifest_version);

  // Holders that are gone. Each is listed at every call until Forget: the
  // command that says so may be lost.
  std::vector<std::string> ExpiredHolders(TimePoint now);
  void RemoveExpired(const std::string& holder);

  const std::map<std::string, Session>& sessions() const { return sessions_; }

 private:
  const Duration timeout_;
  std::map<std::string, Session> sessions_;
  std::set<std::string> expired_holders_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_SESSION_TABLE_H_
