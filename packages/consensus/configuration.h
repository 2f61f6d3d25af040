// Queries on the members of a consensus group.
//
// A member is a host together with the id of its disk, so that a host that lost
// its disk is another member.
//
//   if (IsVoter(configuration, member)) { ... }
//   std::size_t needed = Quorum(configuration);
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct MemberId
{
  HostId host;
  std::uint64_t diskId = 0;

  friend auto operator<=>(const MemberId&, const MemberId&) = default;
};

// "host/disk id", the form that is stored for votes.
std::string
ToText(const MemberId& aMember);

MemberId
IdOf(const wire::Member& aMember);

bool
IsMember(const wire::Configuration& aConfiguration, const MemberId& aMember);
bool
IsVoter(const wire::Configuration& aConfiguration, const MemberId& aMember);

// Number of voters that form a majority.
std::size_t
Quorum(const wire::Configuration& aConfiguration);

// The largest value that a majority of the voters has reached.
std::uint64_t
QuorumValue(const wire::Configuration& aConfiguration,
            const std::function<std::uint64_t(const MemberId&)>& aValue);

} // namespace fuchsiaramp
