#include "state/ledger.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace fuchsiaramp {

static constexpr std::uint64_t kRecordOverheadBytes = 256; // map node and index
static constexpr int kMaxFencedAttempts = 16;              // per key

std::string
KeyText(const wire::ClaimKey& aKey)
{
  // The lengths distinguish ("a", "bc") from ("ab", "c").
  return std::to_string(aKey.customer().size()) + ':' + aKey.customer() +
         std::to_string(aKey.service().size()) + ':' + aKey.service() +
         aKey.key();
}

static std::uint64_t
SizeOf(const wire::LedgerRecord& aRecord)
{
  return aRecord.ByteSizeLong() + kRecordOverheadBytes;
}

static wire::CommandResult
Result(wire::CommandResult::Code aCode, const std::string& aText)
{
  wire::CommandResult result;
  result.set_code(aCode);
  result.set_text(aText);
  return result;
}

static bool
IsFenced(const wire::LedgerRecord& aRecord, const std::string& aAttempt)
{
  const auto& fenced = aRecord.fenced();
  return std::find(fenced.begin(), fenced.end(), aAttempt) != fenced.end();
}

Ledger::Ledger(LedgerOptions aOptions)
  : m_options(aOptions)
{
}

wire::CommandResult
Ledger::Claim(const wire::Claim& aClaim, std::int64_t aTime)
{
  Expire(aTime);
  const std::string key = KeyText(aClaim.key());
  const auto it = m_records.find(key);
  if (it != m_records.end()) {
    return AnswerExisting(key, it->second, aClaim, aTime);
  }
  wire::LedgerRecord record;
  *record.mutable_key() = aClaim.key();
  record.set_state(wire::LedgerRecord::RUNNING);
  record.set_body_hash(aClaim.body_hash());
  record.set_attempt(aClaim.attempt());
  record.set_touched_at_us(aTime);
  if (m_bytes + SizeOf(record) > m_options.maxBytes) {
    return Result(wire::CommandResult::FULL, "the ledger is at its size limit");
  }
  Store(key, std::move(record));
  return Result(wire::CommandResult::GRANTED, "");
}

wire::CommandResult
Ledger::AnswerExisting(const std::string& aKey,
                       wire::LedgerRecord& aRecord,
                       const wire::Claim& aClaim,
                       std::int64_t aTime)
{
  if (IsFenced(aRecord, aClaim.attempt())) {
    return Result(wire::CommandResult::FENCED,
                  "the attempt is fenced: it was reported as not run");
  }
  if (!aRecord.body_hash().empty() &&
      aRecord.body_hash() != aClaim.body_hash()) {
    return Result(wire::CommandResult::BODY_MISMATCH,
                  "the idempotency key was used with another request");
  }
  switch (aRecord.state()) {
    case wire::LedgerRecord::FINISHED: {
      auto result = Result(wire::CommandResult::ALREADY_FINISHED, "");
      *result.mutable_record() = aRecord;
      return result;
    }
    case wire::LedgerRecord::NOT_RUN: {
      if (aRecord.fenced_size() >= kMaxFencedAttempts) {
        return Result(wire::CommandResult::OVERLOADED,
                      "too many attempts with this idempotency key");
      }
      wire::LedgerRecord next = aRecord;
      next.set_state(wire::LedgerRecord::RUNNING);
      next.set_attempt(aClaim.attempt());
      next.set_body_hash(aClaim.body_hash());
      next.set_touched_at_us(aTime);
      Store(aKey, std::move(next));
      return Result(wire::CommandResult::GRANTED, "");
    }
    case wire::LedgerRecord::RUNNING:
      // The holder retries its claim after a lost reply.
      if (aRecord.attempt() == aClaim.attempt()) {
        return Result(wire::CommandResult::GRANTED, "");
      }
      return Result(wire::CommandResult::IN_PROGRESS,
                    "another attempt holds the idempotency key");
    default: {
      auto result = Result(wire::CommandResult::IN_PROGRESS,
                           "an earlier attempt may have run");
      result.mutable_record()->set_state(wire::LedgerRecord::UNKNOWN);
      return result;
    }
  }
}

wire::CommandResult
Ledger::Finish(const wire::Finish& aFinish, std::int64_t aTime)
{
  Expire(aTime);
  const std::string key = KeyText(aFinish.key());
  const bool notRun = aFinish.state() == wire::LedgerRecord::NOT_RUN;
  const auto it = m_records.find(key);
  wire::LedgerRecord record;
  if (it != m_records.end()) {
    record = it->second;
  } else {
    *record.mutable_key() = aFinish.key();
  }
  const bool exists = it != m_records.end();
  const bool holdsKey = exists &&
                        record.state() == wire::LedgerRecord::RUNNING &&
                        record.attempt() == aFinish.attempt();
  const bool alreadyEnded =
    exists && !holdsKey && record.attempt() == aFinish.attempt();
  if (alreadyEnded || (!holdsKey && !notRun)) {
    // A repeated report, or a report of an attempt that does not hold the key.
    const bool repeated = alreadyEnded && record.state() == aFinish.state();
    return Result(repeated ? wire::CommandResult::OK
                           : wire::CommandResult::STALE_ATTEMPT,
                  "");
  }
  if (notRun && !IsFenced(record, aFinish.attempt())) {
    record.add_fenced(aFinish.attempt());
  }
  if (exists && !holdsKey) {
    // Another attempt holds or held the key, so only the fence is recorded.
    const bool available = record.state() == wire::LedgerRecord::NOT_RUN;
    Store(key, std::move(record));
    return Result(available ? wire::CommandResult::OK
                            : wire::CommandResult::IN_PROGRESS,
                  "");
  }
  record.set_state(aFinish.state());
  record.set_attempt(aFinish.attempt());
  record.set_touched_at_us(aTime);
  if (!notRun) {
    record.set_status(aFinish.status());
    record.set_content_type(aFinish.content_type());
    record.set_answer_kept(aFinish.answer_kept());
    record.set_answer(aFinish.answer());
  }
  Store(key, std::move(record));
  return Result(wire::CommandResult::OK, "");
}

void
Ledger::Store(const std::string& aKey, wire::LedgerRecord aRecord)
{
  wire::LedgerRecord& slot = m_records[aKey];
  if (slot.has_key()) {
    m_bytes -= SizeOf(slot);
  }
  m_bytes += SizeOf(aRecord);
  m_expiryQueue.push_back({ aKey, aRecord.touched_at_us() });
  slot = std::move(aRecord);
}

// The queue has one entry for each update of a record; only the entry of the
// latest update removes the record.
void
Ledger::Expire(std::int64_t aTime)
{
  const std::int64_t limit = aTime - m_options.retention.count();
  while (!m_expiryQueue.empty() && m_expiryQueue.front().time < limit) {
    const auto it = m_records.find(m_expiryQueue.front().key);
    if (it != m_records.end() && it->second.touched_at_us() < limit) {
      m_bytes -= SizeOf(it->second);
      m_records.erase(it);
    }
    m_expiryQueue.pop_front();
  }
}

void
Ledger::Save(wire::StateSnapshot& aSnapshot) const
{
  for (const auto& [key, record] : m_records) {
    *aSnapshot.add_ledger() = record;
  }
}

void
Ledger::Restore(const wire::StateSnapshot& aSnapshot)
{
  m_records.clear();
  m_expiryQueue.clear();
  m_bytes = 0;
  std::vector<const wire::LedgerRecord*> records;
  for (const wire::LedgerRecord& record : aSnapshot.ledger()) {
    records.push_back(&record);
  }
  std::sort(records.begin(), records.end(), [](auto* aLeft, auto* aRight) {
    return aLeft->touched_at_us() < aRight->touched_at_us();
  });
  for (const wire::LedgerRecord* record : records) {
    Store(KeyText(record->key()), *record);
  }
}

} // namespace fuchsiaramp
