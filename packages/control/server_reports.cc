#include "control/server_reports.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsiaramp {

using Record = wire::BackendServerRecord;

// The service of a server that deregistered before it reported one. The table
// stores no record of an unknown server without a service.
static constexpr char kUnknownService[] = "unknown";

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
  pending.record = WithCurrentStart(aRecord, aNow);
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

// A server that runs, although a deregistration has ended its start, is stored
// as a start after the one that has ended.
Record
ServerReports::WithCurrentStart(const Record& aRecord, TimePoint aNow)
{
  Record record = aRecord;
  const Record* existing = m_hooks.table().Find(aRecord.id());
  const bool hasEnded =
    existing != nullptr && existing->state() == Record::GONE &&
    !existing->lapsed() && aRecord.incarnation() < existing->incarnation();
  if (hasEnded && aRecord.state() == Record::UP &&
      m_lateStarts.IsRunning(aRecord, aNow)) {
    record.set_reported_incarnation(aRecord.incarnation());
    record.set_incarnation(existing->incarnation() + 1);
  }
  return record;
}

// A deregistration holds for a start that is not in the table yet: its first
// report may arrive later. The stored record keeps what is known of the server.
static Record
ResolvedEnd(const Record& aRecord, const Record* aExisting)
{
  Record ended = aRecord;
  if (NamesNoIncarnation(aRecord)) {
    ended.set_incarnation(
      std::max(aRecord.ends_before(),
               aExisting == nullptr ? 0 : aExisting->incarnation()));
  }
  ended.clear_ends_before();
  if (aExisting == nullptr) {
    if (ended.service().empty() && ended.incarnation() != 0) {
      ended.set_service(kUnknownService);
    }
  } else if (ended.incarnation() > aExisting->incarnation()) {
    const std::uint64_t incarnation = ended.incarnation();
    ended = *aExisting;
    ended.set_incarnation(incarnation);
    ended.clear_reported_incarnation();
    ended.clear_revision();
    ended.set_state(Record::GONE);
    ended.set_lapsed(false);
    ended.set_watcher(aRecord.watcher());
  }
  return ended;
}

// Reports of an incarnation may overtake each other. One that the incarnation
// leaves holds whatever was reported later, so it takes over the latest
// number.
Record
ServerReports::Resolved(const Record& aRecord) const
{
  Record record = aRecord;
  const Record* existing = m_hooks.table().Find(aRecord.id());
  if (existing != nullptr && existing->reported_incarnation() != 0 &&
      existing->reported_incarnation() == aRecord.incarnation()) {
    record.set_incarnation(existing->incarnation());
    record.set_reported_incarnation(existing->reported_incarnation());
  }
  if (record.state() == Record::GONE && !record.lapsed()) {
    return ResolvedEnd(record, existing);
  }
  if (existing == nullptr) {
    return record;
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
