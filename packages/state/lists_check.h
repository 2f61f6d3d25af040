// Analyses a lists document before it is put into force: errors, by the
// validator that the control hosts use, entries that can never match, limits
// that contradict each other, and the changes against other lists.
//
//   ListsCheck check = CheckLists(text, FleetSize());
//   for (const ListsFinding& finding : check.findings) { ... }
//   for (const ListsChange& change : CompareLists(inForce, check.content)) ...
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/findings.h"
#include "base/time.h"
#include "wire/messages.h"

namespace fuchsiaramp {

enum class ListsFindingKind
{
  kInvalid,       // the control hosts reject the document
  kNeverMatches,  // no request can use the entry
  kContradiction, // one limit prevents what another one promises
};

// Returns the name used in reports, such as "invalid" or "never-matches".
const char*
ToText(ListsFindingKind aKind);

struct ListsFinding
{
  ListsFindingKind kind = ListsFindingKind::kInvalid;
  SourcePosition position;
  std::string text;
};

// What the lists do not say of the fleet. Checks that need a value are left out
// where it is missing.
struct FleetSize
{
  std::map<std::string, std::uint64_t> servers; // by service
  // Slots of all servers together, and the mean time for which a request holds
  // one.
  std::optional<std::uint64_t> slots;
  std::optional<Duration> serviceTime;
};

struct ListsCheck
{
  wire::ListsDelta content;
  std::vector<ListsFinding> findings; // in the order of their positions
};

// If the document is invalid, the findings are only those of the validator:
// the content is then incomplete.
ListsCheck
CheckLists(const std::string& aText, const FleetSize& aFleet);

enum class ListsChangeKind
{
  kNew,
  kChanged,
  kRemoved,
};

// Returns "new", "changed" or "removed".
const char*
ToText(ListsChangeKind aKind);

struct ListsChange
{
  ListsChangeKind kind = ListsChangeKind::kNew;
  std::string section; // of the document, such as "open_routes"
  std::string name;
  std::vector<std::string> fields; // that differ, of a changed entry
};

// The changes that lead from the content aFrom to the content aTo, both full
// deltas.
std::vector<ListsChange>
CompareLists(const wire::ListsDelta& aFrom, const wire::ListsDelta& aTo);

} // namespace fuchsiaramp
