#include "routing/host_cells.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/digest.h"

namespace fuchsiaramp {

// Orders members by hash, so that cells do not follow the order of names, which
// often follows the placement on racks.
template<class Id>
static std::vector<Id>
InHashOrder(const std::vector<Id>& aMembers)
{
  std::vector<std::pair<std::uint64_t, Id>> ranked;
  ranked.reserve(aMembers.size());
  for (const Id& member : aMembers) {
    ranked.emplace_back(Hash64(member.Value()), member);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<Id> ordered;
  ordered.reserve(ranked.size());
  for (auto& [hash, member] : ranked) {
    ordered.push_back(std::move(member));
  }
  return ordered;
}

// The members of cell aCell when aMembers are cut into aCells equal runs.
template<class Id>
static std::vector<Id>
MembersOfCell(const std::vector<Id>& aMembers,
              std::size_t aCell,
              std::size_t aCells)
{
  const auto boundary = [&](std::size_t aIndex) {
    return aMembers.begin() +
           static_cast<std::ptrdiff_t>(aIndex * aMembers.size() / aCells);
  };
  return { boundary(aCell), boundary(aCell + 1) };
}

Cell
SelectCell(const HostId& aSelf,
           const std::vector<HostId>& aHosts,
           const std::vector<BackendServerId>& aServers,
           const CellOptions& aOptions)
{
  const std::vector<HostId> hosts = InHashOrder(aHosts);
  const auto self = std::find(hosts.begin(), hosts.end(), aSelf);
  Cell cell;
  std::vector<HostId> members = hosts;
  std::vector<BackendServerId> servers = aServers;
  cell.containsSelf = self != hosts.end();
  if (cell.containsSelf) {
    cell.cells =
      std::max<std::size_t>(std::min(hosts.size() / aOptions.minHosts,
                                     aServers.size() / aOptions.minServers),
                            1);
    std::size_t index = 0;
    do {
      members = MembersOfCell(hosts, index, cell.cells);
      ++index;
    } while (std::find(members.begin(), members.end(), aSelf) == members.end());
    servers = MembersOfCell(InHashOrder(aServers), index - 1, cell.cells);
  }
  std::copy_if(members.begin(),
               members.end(),
               std::back_inserter(cell.peers),
               [&](const HostId& aHost) { return aHost != aSelf; });
  std::sort(cell.peers.begin(), cell.peers.end());
  cell.servers.insert(servers.begin(), servers.end());
  return cell;
}

} // namespace fuchsiaramp
