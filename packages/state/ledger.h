// The ledger of work that must not repeat, as replicated state.
//
// A key is claimed by one attempt before the first byte goes to a backend
// server. Another attempt is granted the key only after the holder has
// reported, with proof, that its work did not run. A finished key returns the
// stored answer until retention ends.
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

  // Times are the leader's wall clock in microseconds; they never decrease.
  wire::CommandResult Claim(const wire::Claim& aClaim, std::int64_t aTime);
  wire::CommandResult Finish(const wire::Finish& aFinish, std::int64_t aTime);

  std::size_t size() const { return m_records.size(); }
  std::uint64_t Bytes() const { return m_bytes; }

  void Save(wire::StateSnapshot& aSnapshot) const;
  void Restore(const wire::StateSnapshot& aSnapshot);

private:
  struct Touch
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
  std::deque<Touch> m_touches; // in order of time
  std::uint64_t m_bytes = 0;
};

// Text form of a key, unique per key.
std::string
KeyText(const wire::ClaimKey& aKey);

} // namespace fuchsiaramp
