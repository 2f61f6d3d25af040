// Reads the announcement of a backend server.
//
//   {"service": "profile", "address": "10.0.0.9:80", "region": "ashanti",
//    "failure_domain": "ashanti-a", "slots": 2, "incarnation": 17,
//    "state": "up"}          state: up or leaving
#pragma once

#include <optional>
#include <string>

#include "wire/messages.h"

namespace fuchsiaramp {

// Empty when the body is no announcement; aProblem then names all problems.
std::optional<wire::BackendServerRecord>
ParseAnnouncement(const std::string& aId,
                  const std::string& aBody,
                  std::string& aProblem);

} // namespace fuchsiaramp
