#include "control/server_reports.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsiaramp {

using Record = wire::BackendServerRecord;

ServerReports::ServerReports(ServerReportsHooks aHooks, Duration aMaxAge)
  : m_hooks(std::move(aHooks))
  , m_maxAge(aMaxAge)
{
}

void
ServerReports::Accept(const Record& aRecord,
                      TimePoint aDeadline,
                      TimePoint aNow,
                      ReplyHook aReply)
{
  const std::uint64_t id = m_nextId++;
  Pending& pending = m_pending[id];
  pending.record = aRecord;
  pending.deadline = aDeadline;
  pending.reply = std::move(aReply);
  if (NamesNoIncarnation(aRecord)) {
    pending.currentFrom = aNow;
  } else if (aRecord.state() == Record::UP) {
    pending.currentFrom = std::max(TimePoint() + Duration(1), aNow - m_maxAge);
  }
  // Otherwise, what is in force in an earlier state stays in force: an
  // incarnation that leaves or has ended does not become UP again.
  Continue(id, aNow);
}

void
ServerReports::Poll(TimePoint aNow)
{
  std::vector<std::uint64_t> waiting;
  for (auto& [id, pending] : m_pending) {
    if (pending.submitted && !IsDue(pending.deadline, aNow)) {
      continue;
    }
    if (pending.currentFrom == kNever) {
      pending.currentFrom = aNow;
    }
    waiting.push_back(id);
  }
  for (const std::uint64_t id : waiting) {
    const auto it = m_pending.find(id);
    if (it == m_pending.end()) {
      continue;
    }
    if (IsDue(it->second.deadline, aNow)) {
      Finish(id, false);
    } else {
      Continue(id, aNow);
    }
  }
}

void
ServerReports::GiveUp()
{
  while (!m_pending.empty()) {
    Finish(m_pending.begin()->first, false);
  }
}

// Reports of an incarnation may overtake each other. One that the incarnation
// leaves holds whatever was reported later, so it takes over the latest
// number.
Record
ServerReports::Resolved(const Record& aRecord) const
{
  Record record = aRecord;
  const Record* existing = m_hooks.table().Find(aRecord.id());
  if (existing == nullptr) {
    return record;
  }
  if (NamesNoIncarnation(aRecord)) {
    record.set_incarnation(existing->incarnation());
  }
  if (record.state() == Record::LEAVING &&
      record.incarnation() == existing->incarnation()) {
    record.set_revision(std::max(record.revision(), existing->revision()));
  }
  return record;
}

void
ServerReports::Continue(std::uint64_t aId, TimePoint aNow)
{
  Pending& pending = m_pending.at(aId);
  const bool current = pending.currentFrom <= m_hooks.currentAsOf(aNow);
  const Record record = Resolved(pending.record);
  if (!m_hooks.table().WouldChange(record)) {
    if (current) {
      Finish(aId, true);
    }
    return;
  }
  const bool isKnown = m_hooks.table().Find(record.id()) != nullptr;
  if (NamesNoIncarnation(pending.record) && !isKnown && !current) {
    return;
  }
  pending.submitted = true;
  m_hooks.submit(record,
                 pending.deadline,
                 aNow,
                 [this, aId](std::optional<wire::CommandResult::Code> aCode) {
                   OnResult(aId, aCode);
                 });
}

void
ServerReports::OnResult(std::uint64_t aId,
                        std::optional<wire::CommandResult::Code> aCode)
{
  const auto it = m_pending.find(aId);
  if (it == m_pending.end()) {
    return;
  }
  Pending& pending = it->second;
  const bool outdated = aCode == wire::CommandResult::STALE_ATTEMPT;
  const bool mayContradict = NamesNoIncarnation(pending.record) ||
                             pending.record.state() == Record::LEAVING;
  if (outdated && mayContradict) {
    // The server may still be UP. The table decides once it has caught up.
    pending.submitted = false;
    pending.currentFrom = kNever;
    return;
  }
  Finish(aId, outdated || aCode == wire::CommandResult::OK);
}

void
ServerReports::Finish(std::uint64_t aId, bool aDurable)
{
  const auto it = m_pending.find(aId);
  const ReplyHook reply = std::move(it->second.reply);
  m_pending.erase(it);
  reply(aDurable);
}

} // namespace fuchsiaramp
