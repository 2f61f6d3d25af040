// The two lists as one YAML document.
//
//   plans:
//     - name: listener
//       priority: 1
//       requests_per_second: 50
//       routes:
//         - {name: fetch, service: profile, path_prefix: /curves,
//            repeatable: true}
//   customers:
//     - {id: shop-7, plan: listener, token_hash: <SHA-256, hexadecimal>}
//   open_routes: # for callers without a token, chosen by host and path
//     - {name: curves, host: curves.example, path_prefix: /saved/,
//        repeat: always, timeout: 1200ms, latency_objective: 600ms,
//        max_servers: 2, priority: 1,
//        split: [{service: profile, weight: 90},
//                {service: profile-next, weight: 10}], public: true}
//   teams: # whose keys the open routes need that are not public
//     - {name: shop, keys: [<key>, <key>], priority: 2,
//        requests_per_second: 425, burst: 425}
//   services:
//     - {name: profile, health_path: /health, max_connections: 390}
//   request_limits: {header_bytes: 16384, body_bytes: 1048576,
//                    header_timeout: 3s, idle_timeout: 15s}
//
//   Findings findings("lists.yaml");
//   wire::ListsDelta content = ReadLists(text, findings);
//   wire::ListsDelta change = Difference(current, content);
#pragma once

#include <functional>
#include <string>

#include "base/findings.h"
#include "base/ids.h"
#include "state/lists.h"
#include "wire/messages.h"

namespace fuchsiaramp {

// Reads a document as a full delta without versions. Adds a finding with its
// position for every error.
wire::ListsDelta
ReadLists(const std::string& aText, Findings& aFindings);

// Validates the open routes and services of a full delta and adds a finding for
// each error. aPositionOf returns the position of an open route by its index.
void
CheckOpenRoutes(const wire::ListsDelta& aContent,
                const std::function<SourcePosition(int)>& aPositionOf,
                Findings& aFindings);

// Validates the teams of a full delta and adds a finding for each error, with
// the position that aPositionOf returns for the index of a team.
void
CheckTeams(const wire::ListsDelta& aContent,
           const std::function<SourcePosition(int)>& aPositionOf,
           Findings& aFindings);

// The smallest delta that leads from the current content to aContent, a full
// delta, at version aVersion.
wire::ListsDelta
Difference(const Lists& aCurrent,
           const wire::ListsDelta& aContent,
           ListsVersion aVersion);

// The same, at the version after the current one.
wire::ListsDelta
Difference(const Lists& aCurrent, const wire::ListsDelta& aContent);

// The YAML text of a full delta.
std::string
WriteLists(const wire::ListsDelta& aContent);

// Digest of a change, to detect a change id that is reused for another change.
std::uint64_t
DigestOf(const wire::ListsDelta& aDelta);

} // namespace fuchsiaramp
