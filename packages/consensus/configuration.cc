#include "consensus/configuration.h"

#include <algorithm>

namespace fuchsiaramp {

std::string
ToText(const MemberId& aMember)
{
  return aMember.host.Value() + '/' + std::to_string(aMember.diskId);
}

MemberId
IdOf(const wire::Member& aMember)
{
  return { HostId(aMember.host()), aMember.disk_id() };
}

bool
IsMember(const wire::Configuration& aConfiguration, const MemberId& aMember)
{
  return std::any_of(
    aConfiguration.members().begin(),
    aConfiguration.members().end(),
    [&](const wire::Member& aOther) { return IdOf(aOther) == aMember; });
}

bool
IsVoter(const wire::Configuration& aConfiguration, const MemberId& aMember)
{
  return std::any_of(aConfiguration.members().begin(),
                     aConfiguration.members().end(),
                     [&](const wire::Member& aOther) {
                       return aOther.voter() && IdOf(aOther) == aMember;
                     });
}

std::size_t
Quorum(const wire::Configuration& aConfiguration)
{
  const auto voters =
    std::count_if(aConfiguration.members().begin(),
                  aConfiguration.members().end(),
                  [](const wire::Member& aMember) { return aMember.voter(); });
  return static_cast<std::size_t>(voters) / 2 + 1;
}

std::uint64_t
QuorumValue(const wire::Configuration& aConfiguration,
            const std::function<std::uint64_t(const MemberId&)>& aValue)
{
  std::vector<std::uint64_t> values;
  for (const wire::Member& member : aConfiguration.members()) {
    if (member.voter()) {
      values.push_back(aValue(IdOf(member)));
    }
  }
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[Quorum(aConfiguration) - 1];
}

} // namespace fuchsiaramp
