// The leader's table of live entry instances.
#ifndef LIMPETHATCH_PROCESS_SESSION_TABLE_H_
#define LIMPETHATCH_PROCESS_SESSION_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// "INSTANCE#INCARNATION", the name of a holder in commands.
std::string HolderName(const std::string& instance, uint64_t incarnation);

class SessionTable {
 public:
  struct Session {
    uint64_t incarnation = 0;
    TimePoint last_contact_at;
    std::string zone;
    uint64_t manifest_version = 0;
    uint64_t oldest_open = 0;  // Requests with lower ids have ended.
  };

  // A session expires if the instance is not heard from for `timeout`.
  explicit SessionTable(Duration timeout) : timeout_(timeout) {}

  // Replaces all sessions by those of `holders`, the holders in the ledgers.
  // Each has the full timeout to make contact.
  void Reset(const std::set<std::string>& holders, TimePoint now);

  // Records that an instance was heard from. A contact of an incarnation older
  // than the latest does not renew the session; that incarnation is expired.
  void RecordContact(const std::string& instance,
                     uint64_t incarnation,
                     TimePoint now);
  // True if the sender no longer waits for request `id`: it has since announced
  // that all requests before `oldest_open` have ended, or it is an older
  // incarnation. Also records `oldest_open`. Call after RecordContact.
  bool IsStaleRequest(const std::string& instance,
                      uint64_t incarnation,
                      uint64_t id,
                      uint64_t oldest_open);
  // Records further fields of a Hello message. Call after RecordContact.
  void SetDetails(const std::string& instance,
                  std::string zone,
                  uint64_t manifest_version);

  // Expires silent sessions and returns all expired holders. Each is returned
  // by every call until RemoveExpired, since the command that reports it may be
  // lost.
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
