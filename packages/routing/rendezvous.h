// Rendezvous hashing: every host computes the same ranking without messages,
// and a change of one member moves only what that member had.
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

// The aCount members that rank highest for aKey, best first.
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

// The highest-ranked member; a default id when there is none.
template<class Id>
Id
RendezvousFirst(const std::string& aKey, const std::vector<Id>& aMembers)
{
  const std::vector<Id> top = RendezvousTop(aKey, aMembers, 1);
  return top.empty() ? Id() : top.front();
}

} // namespace fuchsiaramp
