#define BOOST_TEST_MODULE ledger
#include <boost/test/unit_test.hpp>

#include "state/ledger.h"

namespace fuchsiaramp {

using Code = wire::CommandResult;

static wire::Claim
Claim(const std::string& aKey,
      const std::string& aAttempt,
      const std::string& aBody = "body")
{
  wire::Claim claim;
  claim.mutable_key()->set_key(aKey);
  claim.set_attempt(aAttempt);
  claim.set_body_hash(aBody);
  return claim;
}

static wire::Finish
Finish(const std::string& aKey,
       const std::string& aAttempt,
       wire::LedgerRecord::State aState)
{
  wire::Finish finish;
  finish.mutable_key()->set_key(aKey);
  finish.set_attempt(aAttempt);
  finish.set_state(aState);
  finish.set_status(200);
  finish.set_answer("done");
  finish.set_answer_kept(true);
  return finish;
}

BOOST_AUTO_TEST_CASE(GrantsAKeyToOnlyOneAttempt)
{
  Ledger ledger({});
  BOOST_TEST(ledger.Claim(Claim("k", "a1"), 1).code() == Code::GRANTED);
  BOOST_TEST(ledger.Claim(Claim("k", "a1"), 2).code() == Code::GRANTED);
  BOOST_TEST(ledger.Claim(Claim("k", "a2"), 3).code() == Code::IN_PROGRESS);
  BOOST_TEST(ledger.Claim(Claim("k", "a2", "x"), 3).code() ==
             Code::BODY_MISMATCH);
  ledger.Finish(Finish("k", "a1", wire::LedgerRecord::FINISHED), 4);
  const auto repeat = ledger.Claim(Claim("k", "a3"), 5);
  BOOST_TEST(repeat.code() == Code::ALREADY_FINISHED);
  BOOST_TEST(repeat.record().answer() == "done");
}

BOOST_AUTO_TEST_CASE(NeverGrantsAKeyToAFencedAttempt)
{
  Ledger ledger({});
  ledger.Finish(Finish("k", "late", wire::LedgerRecord::NOT_RUN), 1);
  BOOST_TEST(ledger.Claim(Claim("k", "late"), 2).code() == Code::FENCED);
  BOOST_TEST(ledger.Claim(Claim("k", "b"), 3).code() == Code::GRANTED);
  ledger.Finish(Finish("k", "b", wire::LedgerRecord::NOT_RUN), 4);
  BOOST_TEST(ledger.Claim(Claim("k", "late"), 5).code() == Code::FENCED);
  BOOST_TEST(ledger.Claim(Claim("k", "b"), 6).code() == Code::FENCED);
  BOOST_TEST(ledger.Claim(Claim("k", "c"), 7).code() == Code::GRANTED);
}

BOOST_AUTO_TEST_CASE(IgnoresReportsOfAttemptsThatDoNotHoldTheKey)
{
  Ledger ledger({});
  BOOST_TEST(
    ledger.Finish(Finish("k", "x", wire::LedgerRecord::FINISHED), 1).code() ==
    Code::STALE_ATTEMPT);
  BOOST_TEST(ledger.Claim(Claim("k", "a"), 2).code() == Code::GRANTED);
  ledger.Finish(Finish("k", "a", wire::LedgerRecord::FINISHED), 3);
  BOOST_TEST(
    ledger.Finish(Finish("k", "a", wire::LedgerRecord::NOT_RUN), 4).code() ==
    Code::STALE_ATTEMPT);
  BOOST_TEST(ledger.Claim(Claim("k", "b"), 5).code() == Code::ALREADY_FINISHED);
}

BOOST_AUTO_TEST_CASE(NeverGrantsAKeyWithAnUnknownOutcome)
{
  Ledger ledger({});
  ledger.Claim(Claim("k", "a"), 1);
  ledger.Finish(Finish("k", "a", wire::LedgerRecord::UNKNOWN), 2);
  BOOST_TEST(ledger.Claim(Claim("k", "b"), 3).code() == Code::IN_PROGRESS);
}

BOOST_AUTO_TEST_CASE(RefusesClaimsWhenFullAndExpiresRecordsAfterRetention)
{
  LedgerOptions options;
  options.maxBytes = 1000;
  options.retention = Duration(100);
  Ledger ledger(options);
  int granted = 0;
  while (ledger.Claim(Claim("k" + std::to_string(granted), "a"), 10).code() ==
         Code::GRANTED) {
    ++granted;
  }
  BOOST_TEST(granted > 1);
  BOOST_TEST(ledger.Claim(Claim("new", "a"), 20).code() == Code::FULL);
  BOOST_TEST(ledger.Claim(Claim("new", "a"), 200).code() == Code::GRANTED);
  BOOST_TEST(ledger.size() == 1u);
}

BOOST_AUTO_TEST_CASE(SnapshotPreservesRecordsAndSize)
{
  Ledger ledger({});
  ledger.Claim(Claim("k", "a"), 1);
  ledger.Finish(Finish("k", "a", wire::LedgerRecord::FINISHED), 2);
  wire::StateSnapshot snapshot;
  ledger.Save(snapshot);
  Ledger restored({});
  restored.Restore(snapshot);
  BOOST_TEST(restored.Bytes() == ledger.Bytes());
  BOOST_TEST(restored.Claim(Claim("k", "b"), 3).code() ==
             Code::ALREADY_FINISHED);
}

} // namespace fuchsiaramp
