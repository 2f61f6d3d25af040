// The ledger of requests that must not run more than once, as replicated state.
//
// An attempt claims the key before it sends the first byte to a backend server.
// Another attempt is granted the key only after the holder has reported, with
// proof, that its request did not run. A claim of a finished key returns the
// stored answer until the retention period ends.
//
//   wire::CommandResult result = ledger.Claim(claim, leaderTime);
//   if (result.code() == wire::CommandResult::GRANTED) { ... }
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct LedgerOptions
{
  std::uint64_t maxBytes = 1ULL << 30;
  Duration retention = std::chrono::hours(72);
};

class Ledger
{
public:
  explicit Ledger(LedgerOptions aOptions);

  // aTime is the leader's wall clock in microseconds; it must never decrease.
  wire::CommandResult Claim(const wire::Claim& aClaim, std::int64_t aTime);
  wire::CommandResult Finish(const wire::Finish& aFinish, std::int64_t aTime);

  std::size_t size() const { return m_records.size(); }
  std::uint64_t Bytes() const { return m_bytes; }

  void Save(wire::StateSnapshot& aSnapshot) const;
  void Restore(const wire::StateSnapshot& aSnapshot);

private:
  struct ExpiryEntry
  {
    std::string key;
    std::int64_t time = 0;
  };

  void Expire(std::int64_t aTime);
  void Store(const std::string& aKey, wire::LedgerRecord aRecord);
  wire::CommandResult AnswerExisting(const std::string& aKey,
                                     wire::LedgerRecord& aRecord,
                                     const wire::Claim& aClaim,
                                     std::int64_t aTime);

  LedgerOptions m_options;
  std::unordered_map<std::string, wire::LedgerRecord> m_records;
  std::deque<ExpiryEntry> m_expiryQueue; // ordered by time
  std::uint64_t m_bytes = 0;
};

// Text form of a key, unique per key.
std::string
KeyText(const wire::ClaimKey& aKey);

} // namespace fuchsiaramp
