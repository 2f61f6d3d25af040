#define BOOST_TEST_MODULE report_admission
#include <boost/test/unit_test.hpp>

#include "control/report_admission.h"

namespace fuchsiaramp {

using Record = wire::BackendServerRecord;

static const std::string kAddress = "10.0.0.1:80";

static Record
Report(const std::string& aId,
       std::uint64_t aIncarnation,
       const std::string& aService = "profile")
{
  Record record;
  record.set_id(aId);
  record.set_service(aService);
  record.set_address(kAddress);
  record.set_incarnation(aIncarnation);
  record.set_revision(1);
  return record;
}

// A leader whose lists define the service "profile".
class Leader
{
public:
  Leader()
  {
    wire::ListsDelta delta;
    delta.set_full(true);
    delta.set_to_version(1);
    delta.add_services()->set_name("profile");
    m_lists.Apply(delta);
  }

  // Returns whether the report was logged.
  bool Accept(const Record& aReport)
  {
    const ReportAdmission admission =
      AdmitReport(m_lists, m_servers, aReport, m_isCurrent);
    m_code = admission.code;
    if (admission.code != wire::CommandResult::OK) {
      return false;
    }
    if (admission.formerHolder) {
      m_servers.Report(*admission.formerHolder);
    }
    m_servers.Report(aReport);
    return true;
  }

  void Expire(const std::string& aId)
  {
    Record expired = *m_servers.Find(aId);
    expired.set_state(Record::GONE);
    expired.set_lapsed(true);
    m_servers.Report(expired);
  }

  Record::State StateOf(const std::string& aId) const
  {
    const Record* record = m_servers.Find(aId);
    return record == nullptr ? Record::GONE : record->state();
  }

  Lists m_lists;
  ServersState m_servers;
  bool m_isCurrent = true;
  wire::CommandResult::Code m_code = wire::CommandResult::OK;
};

// Guards against a report of another program that ends the server at its
// address, although the lists do not define its service.
BOOST_AUTO_TEST_CASE(AReportOfAnUndefinedServiceEndsNoServer)
{
  Leader leader;
  BOOST_REQUIRE(leader.Accept(Report("s", 5)));
  BOOST_TEST(!leader.Accept(Report("odd", 9, "agents")));
  BOOST_TEST(leader.m_code == wire::CommandResult::INVALID);
  BOOST_TEST(leader.StateOf("s") == Record::UP);
}

// Guards against the same where an earlier build has stored the report: its
// start in the future must not keep the servers at its address out.
BOOST_AUTO_TEST_CASE(AStoredRecordOfAnUndefinedServiceHoldsNoAddress)
{
  Leader leader;
  leader.m_servers.Report(Report("odd", 900, "agents"));
  BOOST_TEST(leader.Accept(Report("s", 5)));
  BOOST_TEST(leader.StateOf("s") == Record::UP);
  BOOST_TEST(leader.StateOf("odd") == Record::GONE);
}

BOOST_AUTO_TEST_CASE(ANewServerAtAReusedAddressEndsTheFormerOneAtOnce)
{
  Leader leader;
  BOOST_REQUIRE(leader.Accept(Report("s", 5)));
  BOOST_TEST(leader.Accept(Report("t", 9)));
  BOOST_TEST(leader.StateOf("s") == Record::GONE);
  BOOST_TEST(leader.StateOf("t") == Record::UP);
  Record late = Report("s", 5);
  late.set_revision(8);
  BOOST_TEST(!leader.Accept(late));
  BOOST_TEST(leader.StateOf("s") == Record::GONE);
  BOOST_TEST(leader.StateOf("t") == Record::UP);
}

// Guards against a server that stays out for good, though it goes on reporting,
// after something that has stopped reporting named its address.
BOOST_AUTO_TEST_CASE(AFormerHolderThatStillReportsReturnsOnceTheAddressIsFree)
{
  Leader leader;
  BOOST_REQUIRE(leader.Accept(Report("s", 5)));
  BOOST_REQUIRE(leader.Accept(Report("t", 900)));
  leader.Expire("t");
  Record next = Report("s", 5);
  next.set_revision(8);
  BOOST_TEST(leader.Accept(next));
  BOOST_TEST(leader.StateOf("s") == Record::UP);
}

BOOST_AUTO_TEST_CASE(AFormerHolderThatWasLeavingDoesNotReturn)
{
  Leader leader;
  Record leaving = Report("s", 5);
  leaving.set_state(Record::LEAVING);
  BOOST_REQUIRE(leader.Accept(leaving));
  BOOST_REQUIRE(leader.Accept(Report("t", 9)));
  leader.Expire("t");
  Record late = Report("s", 5);
  late.set_revision(8);
  leader.Accept(late);
  BOOST_TEST(leader.StateOf("s") == Record::GONE);
}

// Before a new leader has applied all, it may not know of a service that the
// lists define, nor that they define any.
BOOST_AUTO_TEST_CASE(ALeaderThatIsNotCurrentAdmitsOnlyWhatItKnows)
{
  Leader leader;
  leader.m_isCurrent = false;
  BOOST_TEST(!leader.Accept(Report("s", 5, "other")));
  BOOST_TEST(leader.m_code == wire::CommandResult::RESULT_UNKNOWN);
  BOOST_TEST(leader.Accept(Report("s", 5)));
}

BOOST_AUTO_TEST_CASE(WithoutDefinedServicesEachReportIsLogged)
{
  Leader leader;
  leader.m_lists = Lists();
  BOOST_TEST(leader.Accept(Report("s", 5, "any")));
}

// The lists no longer define the service, but may define it again.
BOOST_AUTO_TEST_CASE(AServerInTheTableRenewsWhateverTheListsDefine)
{
  Leader leader;
  leader.m_servers.Report(Report("s", 5, "former"));
  Record leaving = Report("s", 5, "former");
  leaving.set_state(Record::LEAVING);
  BOOST_TEST(leader.Accept(leaving));
  BOOST_TEST(leader.StateOf("s") == Record::LEAVING);
}

} // namespace fuchsiaramp
