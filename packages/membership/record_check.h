// Checks records of backend servers and hosts before they are used.
//
// Records are replicated and stored as they come, also those that another
// program or an earlier build wrote. Whoever uses one checks it first; a record
// with a problem names nothing that can be used.
//
//   const std::string problem = FindProblem(record);
//   if (!problem.empty()) { ... leave the record out ... }
#pragma once

#include <string>

#include "wire/messages.h"

namespace fuchsiaramp {

// Why the record cannot be used; empty if it can. A record of a server that is
// gone needs only an id.
std::string
FindProblem(const wire::BackendServerRecord& aRecord);

// An odd caller address is no problem of the record: the host can still be sent
// messages.
std::string
FindProblem(const wire::HostRecord& aRecord);

// Whether the address is an IP address and a port that can be connected to.
bool
IsConnectableAddress(const std::string& aAddress);

} // namespace fuchsiaramp
