#include "programs/entry/target_handler.h"

#include <algorithm>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/json_members.h"

namespace limpethatch {
namespace {

constexpr size_t kMaxNameBytes = 128;
constexpr uint64_t kMaxSlots = 65'536;

bool IsValidName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

MemberLoad ReadLoad(const boost::json::object& body) {
  MemberLoad load;
  if (const boost::json::object* object = ObjectMember(body, "load")) {
    load.running = BoundedCast<uint32_t>(UnsignedMember(*object, "running"));
    load.queued = BoundedCast<uint32_t>(UnsignedMember(*object, "waiting"));
  }
  return load;
}

// Returns the problem with the first invalid member, or an empty string.
std::string CheckMember(const MemberInfo& info, std::string_view kind) {
  if (!IsValidName(info.id) || !IsValidName(info.zone) ||
      !IsValidName(info.group)) {
    return "\"id\", \"zone\" and \"service\" must be short texts";
  }
  if (kind != "engine" && kind != "service") {
    return "\"kind\" must be \"engine\" or \"service\"";
  }
  Endpoint address;
  if (!ParseEndpoint(info.address, &address)) {
    return "\"address\" must be an IP number and a port";
  }
  return {};
}

}  // namespace

std::optional<Announcement> ReadAnnouncement(std::string_view body,
                                             std::string* problem) {
  const auto object = ParseJsonObject(body);
  if (!object) {
    *problem = "the body is not an object";
    return std::nullopt;
  }
  Announcement announcement;
  MemberInfo& info = announcement.info;
  const std::string kind = StringMember(*object, "kind");
  info.id = StringMember(*object, "id");
  info.zone = StringMember(*object, "zone");
  info.group = StringMember(*object, "service", StringMember(*object, "pool"));
  info.address = StringMember(*object, "address");
  info.kind = kind == "engine" ? MemberKind::kEngine : MemberKind::kService;
  info.slots = static_cast<uint32_t>(
      std::clamp<uint64_t>(UnsignedMember(*object, "slots"), 1, kMaxSlots));
  info.version = UnsignedMember(*object, "version");
  info.checks_fencing = BoolMember(*object, "checks_fencing");
  info.incarnation = UnsignedMember(*object, "incarnation");
  *problem = CheckMember(info, kind);
  if (!problem->empty()) {
    return std::nullopt;
  }
  announcement.sequence = UnsignedMember(*object, "sequence", 1);
  announcement.leaving = BoolMember(*object, "leaving");
  announcement.load = ReadLoad(*object);
  return announcement;
}

}  // namespace limpethatch
