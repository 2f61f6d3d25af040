// Queries on the members of a consensus group.
//
// A member is identified by its host and disk id: a host that lost its disk
// becomes a different member.
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

// "host/disk id", the format in which votes are stored.
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

// The largest value that a majority of the voters has reached; 0 if there are
// no voters.
std::uint64_t
QuorumValue(const wire::Configuration& aConfiguration,
            const std::function<std::uint64_t(const MemberId&)>& aValue);

} // namespace fuchsiaramp
