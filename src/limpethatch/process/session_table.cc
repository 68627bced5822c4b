#include "limpethatch/process/session_table.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace limpethatch {

std::string HolderName(const std::string& instance, uint64_t incarnation) {
  return instance + "#" + std::to_string(incarnation);
}

void SessionTable::Reset(const std::set<std::string>& holders, TimePoint now) {
  sessions_.clear();
  expired_holders_.clear();
  for (const std::string& holder : holders) {
    const size_t separator = holder.rfind('#');
    uint64_t incarnation = 0;
    if (separator != std::string::npos) {
      std::from_chars(holder.data() + separator + 1,
                      holder.data() + holder.size(), incarnation);
    }
    RecordContact(holder.substr(0, separator), incarnation, now);
  }
}

void SessionTable::RecordContact(const std::string& instance,
                                 uint64_t incarnation,
                                 TimePoint now) {
  auto [found, inserted] = sessions_.try_emplace(instance);
  Session& session = found->second;
  if (!inserted && incarnation < session.incarnation) {
    expired_holders_.insert(HolderName(instance, incarnation));
    return;
  }
  if (!inserted && incarnation > session.incarnation) {
    expired_holders_.insert(HolderName(instance, session.incarnation));
  }
  if (incarnation != session.incarnation) {
    session = Session{};
  }
  session.incarnation = incarnation;
  session.last_contact_at = now;
  expired_holders_.erase(HolderName(instance, incarnation));
}

bool SessionTable::IsStaleRequest(const std::string& instance,
                                  uint64_t incarnation,
                                  uint64_t id,
                                  uint64_t oldest_open) {
  const auto found = sessions_.find(instance);
  if (found == sessions_.end() || found->second.incarnation != incarnation) {
    return found != sessions_.end() && incarnation < found->second.incarnation;
  }
  Session& session = found->second;
  session.oldest_open = std::max(session.oldest_open, oldest_open);
  return id < session.oldest_open;
}

void SessionTable::SetDetails(const std::string& instance,
                              std::string zone,
                              uint64_t manifest_version) {
  if (const auto found = sessions_.find(instance); found != sessions_.end()) {
    found->second.zone = std::move(zone);
    found->second.manifest_version = manifest_version;
  }
}

std::vector<std::string> SessionTable::ExpiredHolders(TimePoint now) {
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    if (now - it->second.last_contact_at < timeout_) {
      ++it;
      continue;
    }
    expired_holders_.insert(HolderName(it->first, it->second.incarnation));
    it = sessions_.erase(it);
  }
  return {expired_holders_.begin(), expired_holders_.end()};
}

void SessionTable::RemoveExpired(const std::string& holder) {
  expired_holders_.erase(holder);
}

}  // namespace limpethatch
