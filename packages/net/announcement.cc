#include "net/announcement.h"

#include <cstdint>

#include <boost/json.hpp>

#include "membership/record_check.h"
#include "settings/settings.h"

namespace fuchsiaramp {

namespace json = boost::json;

static constexpr std::uint64_t kMaxSlots = 100'000;
static constexpr std::size_t kMaxNameBytes = 200;

std::optional<wire::BackendServerRecord>
ParseAnnouncement(const std::string& aId,
                  const std::string& aBody,
                  std::string& aProblem)
{
  boost::system::error_code error;
  const json::value value = json::parse(aBody, error);
  if (error || !value.is_object()) {
    aProblem = "the announcement must be a JSON object";
    return std::nullopt;
  }
  const json::object& object = value.as_object();
  wire::BackendServerRecord record;
  record.set_id(aId);
  const auto text = [&](const char* aKey) {
    const json::value* item = object.if_contains(aKey);
    const bool valid = item != nullptr && item->is_string() &&
                       !item->as_string().empty() &&
                       item->as_string().size() <= kMaxNameBytes;
    if (!valid) {
      aProblem +=
        std::string("'") + aKey + "' must be a string of 1 to 200 bytes; ";
      return std::string();
    }
    return std::string(item->as_string());
  };
  const auto number = [&](const char* aKey, std::uint64_t aMax) {
    const json::value* item = object.if_contains(aKey);
    boost::system::error_code bad;
    const std::uint64_t found =
      item == nullptr ? 0 : item->to_number<std::uint64_t>(bad);
    if (item == nullptr || bad || found == 0 || found > aMax) {
      aProblem += std::string("'") + aKey + "' must be a number from 1 to " +
                  std::to_string(aMax) + "; ";
    }
    return found;
  };
  record.set_service(text("service"));
  record.set_address(text("address"));
  record.set_region(text("region"));
  record.set_failure_domain(text("failure_domain"));
  record.set_slots(static_cast<std::uint32_t>(number("slots", kMaxSlots)));
  record.set_incarnation(number("incarnation", INT64_MAX));
  const std::string state = text("state");
  if (state == "leaving") {
    record.set_state(wire::BackendServerRecord::LEAVING);
  } else if (state != "up") {
    aProblem += "'state' must be 'up' or 'leaving'; ";
  }
  if (!IsAddress(record.address())) {
    aProblem += "'address' must be an IP address and a port; ";
  }
  if (aId.empty() || aId.size() > kMaxNameBytes) {
    aProblem += "the id must have 1 to 200 bytes; ";
  }
  if (aProblem.empty()) {
    aProblem = FindProblem(record);
  }
  if (!aProblem.empty()) {
    return std::nullopt;
  }
  return record;
}

} // namespace fuchsiaramp
