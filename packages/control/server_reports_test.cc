#define BOOST_TEST_MODULE server_reports
#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

#include "control/server_reports.h"

namespace fuchsiaramp {

using Record = wire::BackendServerRecord;

static constexpr Duration kMaxAge = std::chrono::seconds(1);
static constexpr Duration kTimeout = std::chrono::milliseconds(900);

// A control host whose table is as current as m_asOf, and the reports that it
// logs.
class Host
{
public:
  Host()
    : m_reports({ [this]() -> const ServersState& { return m_table; },
                  [this](TimePoint) { return m_asOf; },
                  [this](const Record& aRecord,
                         TimePoint,
                         TimePoint,
                         ServerReportsHooks::DoneHook aDone) {
                    m_logged.push_back(aRecord);
                    m_done.push_back(std::move(aDone));
                  } },
                kMaxAge)
  {
  }

  void Accept(const Record& aRecord)
  {
    m_reply.reset();
    m_reports.Accept(aRecord, m_now + kTimeout, m_now, [this](bool aDurable) {
      m_reply = aDurable;
    });
  }

  void Advance(Duration aSpan)
  {
    m_now += aSpan;
    m_reports.Poll(m_now);
  }

  TimePoint m_now = TimePoint() + std::chrono::seconds(100);
  TimePoint m_asOf;
  ServersState m_table;
  std::vector<Record> m_logged;
  std::vector<ServerReportsHooks::DoneHook> m_done;
  std::optional<bool> m_reply;
  ServerReports m_reports;
};

static Record
Report(std::uint64_t aIncarnation, Record::State aState = Record::UP)
{
  Record record;
  record.set_id("s");
  record.set_service("profile");
  record.set_address("10.0.0.1:80");
  record.set_incarnation(aIncarnation);
  record.set_revision(3);
  record.set_state(aState);
  return record;
}

static Record
NamelessDeregistration()
{
  Record record;
  record.set_id("s");
  record.set_state(Record::GONE);
  return record;
}

BOOST_AUTO_TEST_CASE(ADeregistrationWaitsForATableThatDoesNotKnowTheServer)
{
  Host host;
  host.Accept(NamelessDeregistration());
  host.Advance(std::chrono::milliseconds(100));
  BOOST_TEST(host.m_logged.empty());
  BOOST_TEST(!host.m_reply.has_value());
  host.m_table.Report(Report(5));
  host.Advance(std::chrono::milliseconds(20));
  BOOST_REQUIRE(host.m_logged.size() == 1u);
  BOOST_TEST(host.m_logged.back().incarnation() == 5u);
  host.m_done.back()(wire::CommandResult::OK);
  BOOST_TEST((host.m_reply == true));
}

BOOST_AUTO_TEST_CASE(ADeregistrationIsNotConfirmedAfterItsDeadline)
{
  Host host;
  host.Accept(NamelessDeregistration());
  host.Advance(kTimeout);
  BOOST_TEST((host.m_reply == false));
  BOOST_TEST(host.m_reports.PendingCount() == 0u);
}

BOOST_AUTO_TEST_CASE(AnOutdatedDeregistrationNamesTheIncarnationThatHasStarted)
{
  Host host;
  host.m_asOf = host.m_now;
  host.m_table.Report(Report(5));
  host.Accept(NamelessDeregistration());
  BOOST_REQUIRE(host.m_logged.size() == 1u);
  host.m_table.Report(Report(6));
  host.m_done.back()(wire::CommandResult::STALE_ATTEMPT);
  BOOST_TEST(!host.m_reply.has_value());
  host.Advance(std::chrono::milliseconds(20));
  BOOST_REQUIRE(host.m_logged.size() == 2u);
  BOOST_TEST(host.m_logged.back().incarnation() == 6u);
}

// What is true in an earlier state may be undone by a new incarnation.
BOOST_AUTO_TEST_CASE(ARepeatedDeregistrationIsNotConfirmedFromATableThatLags)
{
  Host host;
  host.m_asOf = host.m_now - std::chrono::milliseconds(1);
  host.m_table.Report(Report(5));
  Record ended = NamelessDeregistration();
  ended.set_incarnation(5);
  host.m_table.Report(ended);
  host.Accept(NamelessDeregistration());
  host.Advance(std::chrono::milliseconds(20));
  BOOST_TEST(!host.m_reply.has_value());
  host.m_asOf = host.m_now;
  host.Advance(std::chrono::milliseconds(20));
  BOOST_TEST((host.m_reply == true));
  BOOST_TEST(host.m_logged.empty());
}

BOOST_AUTO_TEST_CASE(ADrainingReportThatIsOutdatedTakesTheLatestNumber)
{
  Host host;
  host.m_table.Report(Report(5));
  host.Accept(Report(5, Record::LEAVING));
  BOOST_REQUIRE(host.m_logged.size() == 1u);
  host.m_done.back()(wire::CommandResult::STALE_ATTEMPT);
  Record later = Report(5);
  later.set_revision(7);
  later.set_slots(4);
  host.m_table.Report(later);
  host.Advance(std::chrono::milliseconds(20));
  BOOST_REQUIRE(host.m_logged.size() == 2u);
  BOOST_TEST(host.m_logged.back().revision() == 7u);
}

BOOST_AUTO_TEST_CASE(AHeartbeatThatChangesNothingNeedsACurrentTable)
{
  Host host;
  host.m_table.Report(Report(5));
  host.Accept(Report(5));
  BOOST_TEST(!host.m_reply.has_value());
  host.m_asOf = host.m_now - kMaxAge / 2;
  host.Advance(std::chrono::milliseconds(20));
  BOOST_TEST((host.m_reply == true));
  BOOST_TEST(host.m_logged.empty());
}

BOOST_AUTO_TEST_CASE(ADeregistrationOfAFormerIncarnationIsConfirmedAtOnce)
{
  Host host;
  host.m_table.Report(Report(9));
  Record named = NamelessDeregistration();
  named.set_incarnation(5);
  host.Accept(named);
  BOOST_TEST((host.m_reply == true));
}

// Logs what was submitted last, as the group does.
static void
Apply(Host& aHost)
{
  BOOST_REQUIRE(!aHost.m_logged.empty());
  const auto result = aHost.m_table.Report(aHost.m_logged.back());
  aHost.m_done.back()(result.code());
}

// Guards against requests to a server that deregistered before its first
// heartbeat arrived: the heartbeat brought it back.
BOOST_AUTO_TEST_CASE(ADeregistrationOfAServerThatIsNotKnownIsStored)
{
  for (const bool namesIncarnation : { false, true }) {
    Host host;
    host.m_asOf = host.m_now;
    Record deregistration = NamelessDeregistration();
    if (namesIncarnation) {
      deregistration.set_incarnation(5);
    } else {
      deregistration.set_ends_before(7);
    }
    host.Accept(deregistration);
    Apply(host);
    BOOST_TEST((host.m_reply == true));
    host.m_table.Report(Report(5));
    BOOST_REQUIRE(host.m_table.Find("s") != nullptr);
    BOOST_TEST(host.m_table.Find("s")->state() == Record::GONE);
    host.m_table.Report(Report(9));
    BOOST_TEST(host.m_table.Find("s")->state() == Record::UP);
  }
}

// Guards against the same where the server had run before under its id.
BOOST_AUTO_TEST_CASE(ADeregistrationHoldsForAStartWhoseHeartbeatIsUnderWay)
{
  for (const bool hasEnded : { false, true }) {
    Host host;
    host.m_asOf = host.m_now;
    host.m_table.Report(Report(2));
    if (hasEnded) {
      Record ended = NamelessDeregistration();
      ended.set_incarnation(2);
      host.m_table.Report(ended);
    }
    Record deregistration = NamelessDeregistration();
    deregistration.set_ends_before(7);
    host.Accept(deregistration);
    Apply(host);
    BOOST_TEST((host.m_reply == true));
    host.m_table.Report(Report(5));
    BOOST_TEST(host.m_table.Find("s")->state() == Record::GONE);
  }
}

// The clock of the server's machine may lag, or that of the host may have been
// ahead when the server deregistered.
BOOST_AUTO_TEST_CASE(AStoredDeregistrationDoesNotKeepANewStartOut)
{
  Host host;
  host.m_asOf = host.m_now;
  Record deregistration = NamelessDeregistration();
  deregistration.set_ends_before(700);
  host.Accept(deregistration);
  Apply(host);
  Record report = Report(50);
  for (std::uint64_t sequence = 1; sequence <= 30; ++sequence) {
    report.set_revision(sequence);
    host.m_asOf = host.m_now;
    host.Accept(report);
    if (host.m_logged.size() > 1) {
      break;
    }
    BOOST_TEST((host.m_reply == true));
    host.Advance(std::chrono::milliseconds(1500));
  }
  Apply(host);
  BOOST_TEST(host.m_table.Find("s")->state() == Record::UP);
  // What the server reports from then on concerns the same start.
  host.m_asOf = host.m_now;
  report.set_revision(40);
  host.Accept(report);
  BOOST_TEST((host.m_reply == true));
  BOOST_TEST(host.m_table.Find("s")->state() == Record::UP);
  report.set_revision(41);
  report.set_state(Record::LEAVING);
  host.Accept(report);
  Apply(host);
  BOOST_TEST(host.m_table.Find("s")->state() == Record::LEAVING);
  Record named = NamelessDeregistration();
  named.set_incarnation(50);
  host.Accept(named);
  Apply(host);
  BOOST_TEST(host.m_table.Find("s")->state() == Record::GONE);
}

// A server that serves on for many seconds after it deregistered may go on
// reporting, and late heartbeats may come together.
BOOST_AUTO_TEST_CASE(ReportsOfAnEndedStartDoNotBringItBack)
{
  Host host;
  host.m_table.Report(Report(5));
  Record ended = NamelessDeregistration();
  ended.set_incarnation(6);
  host.m_table.Report(ended);
  Record report = Report(5);
  for (std::uint64_t sequence = 10; sequence <= 40; ++sequence) {
    report.set_revision(sequence);
    host.m_asOf = host.m_now;
    host.Accept(report);
    BOOST_TEST(host.m_logged.empty());
    host.Advance(std::chrono::milliseconds(1500));
  }
}

} // namespace fuchsiaramp
