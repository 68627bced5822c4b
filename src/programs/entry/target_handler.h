// Parses announcements of targets: POST /v1/targets.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_TARGET_HANDLER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_TARGET_HANDLER_H_

#include <optional>
#include <string>
#include <string_view>

#include "limpethatch/process/member.h"

namespace limpethatch {

// Parses the JSON body of an announcement. On failure returns nullopt and sets
// `problem` to a message that names the invalid member.
std::optional<Announcement> ReadAnnouncement(std::string_view body,
                                             std::string* problem);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_TARGET_HANDLER_H_
