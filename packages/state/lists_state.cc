#include "state/lists_state.h"

#include "base/invariant.h"

namespace fuchsiaramp {

static constexpr std::size_t kMaxHistory = 4096;    // deltas
static constexpr std::size_t kMaxChanges = 200'000; // change ids

wire::CommandResult
ListsState::Put(const wire::PutLists& aPut, std::int64_t aTime)
{
  wire::CommandResult result;
  const auto known = m_changeById.find(aPut.change_id());
  if (known != m_changeById.end()) {
    const bool same = known->second.digest() == aPut.digest();
    result.set_code(same ? wire::CommandResult::OK
                         : wire::CommandResult::INVALID);
    result.set_version(known->second.version());
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
  const std::string problem = m_lists.Problem(aPut.delta());
  if (!problem.empty() || !m_lists.CanApply(aPut.delta())) {
    result.set_code(wire::CommandResult::INVALID);
    result.set_text(problem.empty() ? "the delta does not fit the version"
                                    : problem);
    return result;
  }
  m_lists.Apply(aPut.delta());
  m_history.push_back(aPut.delta());
  if (m_history.size() > kMaxHistory) {
    m_history.pop_front();
  }
  wire::ChangeRecord change;
  change.set_change_id(aPut.change_id());
  change.set_version(m_lists.Version().Value());
  change.set_operator_name(aPut.operator_name());
  change.set_accepted_at_us(aTime);
  change.set_digest(aPut.digest());
  Remember(change);
  result.set_code(wire::CommandResult::OK);
  result.set_version(m_lists.Version().Value());
  return result;
}

void
ListsState::Remember(const wire::ChangeRecord& aChange)
{
  CheckInvariant(m_changes.empty() ||
                   m_changes.back().version() < aChange.version(),
                 "accepted changes have growing versions");
  m_changes.push_back(aChange);
  m_changeById[aChange.change_id()] = aChange;
  if (m_changes.size() > kMaxChanges) {
    m_changeById.erase(m_changes.front().change_id());
    m_changes.pop_front();
  }
}

std::vector<wire::ListsDelta>
ListsState::Since(ListsVersion aVersion) const
{
  std::vector<wire::ListsDelta> chain;
  if (aVersion >= m_lists.Version()) {
    return chain;
  }
  const bool reaches =
    !m_history.empty() && m_history.front().from_version() <= aVersion.Value();
  if (!reaches) {
    chain.push_back(m_lists.ToFullDelta());
    return chain;
  }
  for (const wire::ListsDelta& delta : m_history) {
    if (delta.from_version() >= aVersion.Value()) {
      chain.push_back(delta);
    }
  }
  return chain;
}

void
ListsState::Save(wire::StateSnapshot& aSnapshot) const
{
  *aSnapshot.mutable_lists() = m_lists.ToFullDelta();
  for (const wire::ListsDelta& delta : m_history) {
    *aSnapshot.add_history() = delta;
  }
  for (const wire::ChangeRecord& change : m_changes) {
    *aSnapshot.add_changes() = change;
  }
}

void
ListsState::Restore(const wire::StateSnapshot& aSnapshot)
{
  *this = ListsState();
  m_lists.Apply(aSnapshot.lists());
  for (const wire::ListsDelta& delta : aSnapshot.history()) {
    m_history.push_back(delta);
  }
  for (const wire::ChangeRecord& change : aSnapshot.changes()) {
    Remember(change);
  }
}

} // namespace fuchsiaramp
