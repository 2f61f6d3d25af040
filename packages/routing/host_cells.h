// Divides the entry hosts of a failure domain and the backend servers of a
// service in it into cells. The hosts of a cell place their requests on the
// servers of the cell and tell each other what they have outstanding there.
// What a host sends and receives therefore depends on the size of its cell and
// not on the number of hosts or servers.
//
// All hosts with the same view of a failure domain compute the same cells. A
// host or server that joins or leaves moves at most one member across each
// boundary between cells, unless the number of cells changes.
//
//   Cell cell = SelectCell(self, hosts, servers, CellOptions());
//   for (const HostId& peer : cell.peers) { ... share the load ... }
#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "base/ids.h"

namespace fuchsiaramp {

struct CellOptions
{
  std::size_t minHosts = 5;   // of a cell, if there is more than one
  std::size_t minServers = 3; // of a cell, if there is more than one
};

struct Cell
{
  std::vector<HostId> peers; // other hosts of the cell; sorted
  std::set<BackendServerId> servers;
  std::size_t cells = 1; // in the failure domain
  bool containsSelf = false;
};

// aHosts: the entry hosts of the failure domain that receive callers. A host
// that is not among them gets a cell of all hosts and servers.
Cell
SelectCell(const HostId& aSelf,
           const std::vector<HostId>& aHosts,
           const std::vector<BackendServerId>& aServers,
           const CellOptions& aOptions);

} // namespace fuchsiaramp
