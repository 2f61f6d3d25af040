#include "membership/record_check.h"

#include <cstddef>
#include <cstdint>
#include <limits>

#include "base/text.h"
#include "settings/settings.h"

namespace fuchsiaramp {

static constexpr std::size_t kMaxNameBytes = 200;
static constexpr std::size_t kMaxHostBytes = 255; // of a ZeroMQ routing id
static constexpr std::uint32_t kMaxSlots = 100'000;
static constexpr std::int64_t kMaxColdUs = 86'400'000'000; // a day
// A host outdoes a false record of itself by the next number.
static constexpr std::uint64_t kMaxCounter =
  std::numeric_limits<std::int64_t>::max();

static std::string
FindNameProblem(const char* aField, const std::string& aName)
{
  return aName.empty() || aName.size() > kMaxNameBytes || !IsPrintable(aName)
           ? std::string("the ") + aField +
               " must have 1 to 200 bytes of printable text"
           : "";
}

bool
IsConnectableAddress(const std::string& aAddress)
{
  return IsAddress(aAddress) && !aAddress.starts_with("0.0.0.0:");
}

std::string
FindProblem(const wire::BackendServerRecord& aRecord)
{
  std::string problem = FindNameProblem("id", aRecord.id());
  if (!problem.empty() || aRecord.state() == wire::BackendServerRecord::GONE) {
    return problem;
  }
  if (!wire::BackendServerRecord::State_IsValid(aRecord.state())) {
    return "the state is unknown";
  }
  problem = FindNameProblem("service", aRecord.service());
  if (!problem.empty()) {
    return problem;
  }
  for (const std::string& place :
       { aRecord.region(), aRecord.failure_domain() }) {
    if (place.size() > kMaxNameBytes || !IsPrintable(place)) {
      return "a region or failure domain must have up to 200 bytes of "
             "printable text";
    }
  }
  if (!IsConnectableAddress(aRecord.address())) {
    return "the address must be an IP address and a port";
  }
  if (aRecord.slots() > kMaxSlots) {
    return "more than 100000 slots";
  }
  if (aRecord.incarnation() > kMaxCounter) {
    return "the incarnation is too large";
  }
  if (aRecord.cold_us() > kMaxColdUs || aRecord.cold_us() < -kMaxColdUs) {
    return "the remaining time of the slow start is above a day";
  }
  return "";
}

std::string
FindProblem(const wire::HostRecord& aRecord)
{
  if (aRecord.host().empty() || aRecord.host().size() > kMaxHostBytes ||
      !IsPrintable(aRecord.host())) {
    return "the host must have 1 to 255 bytes of printable text";
  }
  if (!wire::HostRecord::State_IsValid(aRecord.state())) {
    return "the state is unknown";
  }
  if (aRecord.incarnation() > kMaxCounter || aRecord.revision() > kMaxCounter) {
    return "the incarnation or revision is too large";
  }
  return "";
}

} // namespace fuchsiaramp
