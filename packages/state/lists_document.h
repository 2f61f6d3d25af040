// The two lists as one YAML document.
//
//   plans:
//     - name: listener
//       priority: 1
//       requests_per_second: 50
//       routes:
//         - {name: fetch, service: profile, path_prefix: /curves, repeatable:
//         true}
//   customers:
//     - {id: shop-7, plan: listener, token_hash: <SHA-256, hexadecimal>}
//
//   Findings findings("lists.yaml");
//   wire::ListsDelta content = ReadLists(text, findings);
//   wire::ListsDelta change = Difference(current, content);
#pragma once

#include <string>

#include "base/findings.h"
#include "state/lists.h"
#include "wire/messages.h"

namespace fuchsiaramp {

// Reads a document as a full delta without versions; every problem becomes a
// finding with its place.
wire::ListsDelta
ReadLists(const std::string& aText, Findings& aFindings);

// The smallest delta from the current content to the given full content,
// leading to the next version.
wire::ListsDelta
Difference(const Lists& aCurrent, const wire::ListsDelta& aContent);

// The document text of a full delta.
std::string
WriteLists(const wire::ListsDelta& aContent);

// Digest of a change, to recognise a change id that was used for another one.
std::uint64_t
DigestOf(const wire::ListsDelta& aDelta);

} // namespace fuchsiaramp
