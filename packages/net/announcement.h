// Parses the announcement of a backend server, a JSON object.
//
//   {"service": "profile", "address": "10.0.0.9:80", "region": "ashanti",
//    "failure_domain": "ashanti-a", "slots": 2, "incarnation": 17,
//    "state": "up"}          state: up or leaving
#pragma once

#include <optional>
#include <string>

#include "wire/messages.h"

namespace fuchsiaramp {

// Returns nullopt when the body is not a valid announcement; aProblem then
// lists every problem.
std::optional<wire::BackendServerRecord>
ParseAnnouncement(const std::string& aId,
                  const std::string& aBody,
                  std::string& aProblem);

} // namespace fuchsiaramp
