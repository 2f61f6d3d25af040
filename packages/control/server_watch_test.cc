#define BOOST_TEST_MODULE server_watch
#include <boost/test/unit_test.hpp>

#include "control/server_watch.h"

namespace fuchsiaramp {

using Record = wire::BackendServerRecord;

static constexpr Duration kLifetime = std::chrono::seconds(12);

// A table with one server, which this host watches.
class Watch
{
public:
  explicit Watch(Record::State aState)
    : m_watch(HostId("control-1"), kLifetime)
  {
    Record record;
    record.set_id("s");
    record.set_service("profile");
    record.set_address("10.0.0.1:80");
    record.set_incarnation(5);
    record.set_revision(3);
    record.set_state(aState);
    record.set_watcher("control-1");
    m_servers.Report(record);
    m_watch.RecordRenewal(record, m_now);
  }

  void RunFor(Duration aSpan)
  {
    m_now += aSpan;
    const auto watchesFor = [](const HostId&) { return false; };
    for (const Record& record :
         m_watch.TakeExpired(m_servers, watchesFor, m_now)) {
      m_servers.Report(record);
    }
  }

  Record::State StateAfterLateHeartbeat()
  {
    Record late = *m_servers.Find("s");
    late.set_state(Record::UP);
    late.set_lapsed(false);
    late.set_revision(4);
    m_servers.Report(late);
    return m_servers.Find("s")->state();
  }

  TimePoint m_now = TimePoint() + std::chrono::seconds(100);
  ServersState m_servers;
  ServerWatch m_watch;
};

BOOST_AUTO_TEST_CASE(AServerThatReportsNoMoreReturnsWithItsNextReport)
{
  Watch watch(Record::UP);
  watch.RunFor(kLifetime);
  BOOST_REQUIRE(watch.m_servers.Find("s")->state() == Record::GONE);
  BOOST_TEST(watch.StateAfterLateHeartbeat() == Record::UP);
}

// Guards against requests to a server whose draining was acknowledged, because
// a late heartbeat brought it back after its reports had stopped.
BOOST_AUTO_TEST_CASE(ALeavingServerThatReportsNoMoreDoesNotReturn)
{
  Watch watch(Record::LEAVING);
  watch.RunFor(kLifetime);
  BOOST_REQUIRE(watch.m_servers.Find("s")->state() == Record::GONE);
  BOOST_TEST(watch.StateAfterLateHeartbeat() == Record::GONE);
}

} // namespace fuchsiaramp
