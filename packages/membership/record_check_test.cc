#define BOOST_TEST_MODULE record_check
#include <boost/test/unit_test.hpp>

#include <functional>
#include <limits>

#include "membership/record_check.h"

namespace fuchsiaramp {

using Record = wire::BackendServerRecord;

static Record
ValidRecord()
{
  Record record;
  record.set_id("i-1");
  record.set_service("profile");
  record.set_address("10.0.0.1:80");
  record.set_failure_domain("a");
  record.set_slots(6);
  record.set_incarnation(1'700'000'000'000);
  record.set_cold_us(3'000'000);
  return record;
}

BOOST_AUTO_TEST_CASE(ARecordWithAnyOddFieldHasAProblem)
{
  BOOST_TEST(FindProblem(ValidRecord()) == "");
  const std::function<void(Record&)> changes[] = {
    [](Record& aOdd) { aOdd.set_id(""); },
    [](Record& aOdd) { aOdd.set_id("a\r\nb: c"); },
    [](Record& aOdd) { aOdd.set_id("\xff"); },
    [](Record& aOdd) { aOdd.set_id(std::string(100'000, '[')); },
    [](Record& aOdd) { aOdd.set_service(""); },
    [](Record& aOdd) { aOdd.set_service(std::string(201, 's')); },
    [](Record& aOdd) { aOdd.set_failure_domain(std::string(1, '\0')); },
    [](Record& aOdd) { aOdd.set_address(""); },
    [](Record& aOdd) { aOdd.set_address("10.0.0.1"); },
    [](Record& aOdd) { aOdd.set_address("10.0.0.1:0"); },
    [](Record& aOdd) { aOdd.set_address("10.0.0.1:65536"); },
    [](Record& aOdd) { aOdd.set_address("10.0.0.1:-1"); },
    [](Record& aOdd) { aOdd.set_address("10.0.0.1:99999999999999999999"); },
    [](Record& aOdd) { aOdd.set_address("0.0.0.0:80"); },
    [](Record& aOdd) { aOdd.set_address("010.0.0.1:80"); },
    [](Record& aOdd) { aOdd.set_address("name.example:80"); },
    [](Record& aOdd) { aOdd.set_slots(4'000'000'000); },
    [](Record& aOdd) {
      aOdd.set_incarnation(std::numeric_limits<std::uint64_t>::max());
    },
    [](Record& aOdd) {
      aOdd.set_cold_us(std::numeric_limits<std::int64_t>::max());
    },
    [](Record& aOdd) {
      aOdd.set_cold_us(std::numeric_limits<std::int64_t>::min());
    },
    [](Record& aOdd) { aOdd.set_state(static_cast<Record::State>(7)); },
  };
  for (const auto& change : changes) {
    Record record = ValidRecord();
    change(record);
    BOOST_TEST(FindProblem(record) != "", record.ShortDebugString());
  }
}

BOOST_AUTO_TEST_CASE(AServerThatIsGoneNeedsOnlyAnId)
{
  Record record;
  record.set_id("i-1");
  record.set_state(Record::GONE);
  BOOST_TEST(FindProblem(record) == "");
  record.set_id("");
  BOOST_TEST(FindProblem(record) != "");
}

BOOST_AUTO_TEST_CASE(AHostNeedsANameAKnownStateAndCountersThatCanGrow)
{
  wire::HostRecord host;
  host.set_host("10.0.0.1:7000");
  BOOST_TEST(FindProblem(host) == "");
  wire::HostRecord odd = host;
  odd.set_host("");
  BOOST_TEST(FindProblem(odd) != "");
  odd = host;
  odd.set_state(static_cast<wire::HostRecord::State>(9));
  BOOST_TEST(FindProblem(odd) != "");
  odd = host;
  odd.set_incarnation(std::numeric_limits<std::uint64_t>::max());
  BOOST_TEST(FindProblem(odd) != "");
  odd = host;
  odd.set_revision(std::numeric_limits<std::uint64_t>::max());
  BOOST_TEST(FindProblem(odd) != "");
}

} // namespace fuchsiaramp
