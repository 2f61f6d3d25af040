#include "state/lists_state.h"

#include <utility>

#include "base/invariant.h"
#include "wire/decode.h"

namespace fuchsiaramp {

static constexpr std::size_t kMaxHistoryDeltas = 4096;
static constexpr std::size_t kMaxChangeRecords = 200'000;

ListsState::ListsState()
  : m_history(kMaxHistoryDeltas)
{
}

wire::CommandResult
ListsState::Put(const wire::PutLists& aPut, std::int64_t aTime)
{
  wire::CommandResult result;
  const auto existing = m_changeById.find(aPut.change_id());
  if (existing != m_changeById.end()) {
    const bool same = existing->second.digest() == aPut.digest();
    result.set_code(same ? wire::CommandResult::OK
                         : wire::CommandResult::INVALID);
    result.set_version(existing->second.version());
    result.set_text(same ? "" : "the change id was used for another change");
    return result;
  }
  result.set_version(m_lists.Version().Value());
  if (aPut.expected_version() != m_lists.Version().Value()) {
    result.set_code(wire::CommandResult::VERSION_CONFLICT);
    result.set_text("the current version is " +
                    std::to_string(m_lists.Version().Value()));
    return result;
  }
  const std::string validationError = m_lists.ValidationError(aPut.delta());
  if (!validationError.empty() || !m_lists.CanApply(aPut.delta())) {
    result.set_code(wire::CommandResult::INVALID);
    result.set_text(validationError.empty()
                      ? "the delta does not lead from the current version to a "
                        "later one"
                      : validationError);
    return result;
  }
  m_lists.Apply(aPut.delta());
  m_history.Add(aPut.delta(), m_lists);
  wire::ChangeRecord change;
  change.set_change_id(aPut.change_id());
  change.set_version(m_lists.Version().Value());
  change.set_operator_name(aPut.operator_name());
  change.set_accepted_at_us(aTime);
  change.set_digest(aPut.digest());
  RecordChange(change);
  result.set_code(wire::CommandResult::OK);
  result.set_version(m_lists.Version().Value());
  return result;
}

void
ListsState::RecordChange(const wire::ChangeRecord& aChange)
{
  CheckInvariant(m_changes.empty() ||
                   m_changes.back().version() < aChange.version(),
                 "the versions of accepted changes increase");
  m_changes.push_back(aChange);
  m_changeById[aChange.change_id()] = aChange;
  if (m_changes.size() > kMaxChangeRecords) {
    m_changeById.erase(m_changes.front().change_id());
    m_changes.pop_front();
  }
}

std::vector<wire::ListsDelta>
ListsState::Since(ListsVersion aVersion) const
{
  if (aVersion >= m_lists.Version()) {
    return {};
  }
  // A host without lists needs none of the changes that others have replaced.
  if (aVersion.Value() == 0 || !m_history.Reaches(aVersion)) {
    std::vector<wire::ListsDelta> full;
    full.push_back(m_lists.ToFullDelta());
    return full;
  }
  return m_history.Since(aVersion);
}

void
ListsState::Save(wire::StateSnapshot& aSnapshot) const
{
  *aSnapshot.mutable_lists() = m_lists.ToFullDelta();
  for (const wire::ListsDelta& delta : m_history.Deltas()) {
    aSnapshot.add_history(delta.SerializeAsString());
  }
  for (const wire::ChangeRecord& change : m_changes) {
    *aSnapshot.add_changes() = change;
  }
}

std::size_t
ListsState::Restore(const wire::StateSnapshot& aSnapshot)
{
  *this = ListsState();
  m_lists.Apply(aSnapshot.lists());
  for (const wire::ChangeRecord& change : aSnapshot.changes()) {
    RecordChange(change);
  }
  return RestoreHistory(aSnapshot);
}

// An earlier build stored a history of any size. Each change is decoded by
// itself, so that those that are not kept take no memory.
std::size_t
ListsState::RestoreHistory(const wire::StateSnapshot& aSnapshot)
{
  std::size_t escapedTexts = 0;
  for (const std::string& stored : aSnapshot.history()) {
    wire::ListsDelta delta;
    if (Decode(stored, delta, escapedTexts)) {
      m_history.Add(std::move(delta), m_lists);
    } else {
      m_history.Clear(); // a follower needs all changes after its version
    }
  }
  return escapedTexts;
}

} // namespace fuchsiaramp
