// Rendezvous hashing: all hosts compute the same ranking without communication,
// and adding or removing a member moves only the keys of that member.
//
//   HostId arbiter = RendezvousFirst(service.Value(), aliveHosts);
//   std::vector<HostId> hosts = RendezvousTop(service.Value(), alive, 24);
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/digest.h"

namespace fuchsiaramp {

// Returns the aCount highest-ranked members for aKey, in order of rank.
template<class Id>
std::vector<Id>
RendezvousTop(const std::string& aKey,
              const std::vector<Id>& aMembers,
              std::size_t aCount)
{
  const std::uint64_t seed = Hash64(aKey);
  std::vector<std::pair<std::uint64_t, const Id*>> ranked;
  ranked.reserve(aMembers.size());
  for (const Id& member : aMembers) {
    ranked.emplace_back(Hash64(member.Value(), seed), &member);
  }
  const std::size_t count = std::min(aCount, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first != aRight.first
                               ? aLeft.first > aRight.first
                               : *aLeft.second < *aRight.second;
                    });
  std::vector<Id> top;
  top.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    top.push_back(*ranked[i].second);
  }
  return top;
}

// Returns the highest-ranked member, or a default id if there are no members.
template<class Id>
Id
RendezvousFirst(const std::string& aKey, const std::vector<Id>& aMembers)
{
  const std::vector<Id> top = RendezvousTop(aKey, aMembers, 1);
  return top.empty() ? Id() : top.front();
}

// Returns the number of members that rank before aSelf for aKey.
template<class Id>
std::size_t
RendezvousRank(const std::string& aKey,
               const Id& aSelf,
               const std::vector<Id>& aMembers)
{
  const std::uint64_t seed = Hash64(aKey);
  const std::uint64_t own = Hash64(aSelf.Value(), seed);
  return static_cast<std::size_t>(
    std::count_if(aMembers.begin(), aMembers.end(), [&](const Id& aMember) {
      const std::uint64_t hash = Hash64(aMember.Value(), seed);
      return hash > own || (hash == own && aMember < aSelf);
    }));
}

} // namespace fuchsiaramp
