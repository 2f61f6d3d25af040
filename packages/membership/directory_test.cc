#define BOOST_TEST_MODULE directory
#include <boost/test/unit_test.hpp>

#include <map>

#include "membership/directory.h"

namespace fuchsiaramp {

// A directory whose servers are announced by control hosts.
class DirectoryFixture
{
public:
  DirectoryFixture()
    : m_directory([](const HostId&, std::uint64_t) { return true; },
                  [this](const BackendServer& aServer) {
                    m_states[aServer.id.Value()] = aServer.state;
                  })
  {
  }

  void Report(wire::BackendServerRecord::State aState,
              std::uint64_t aIncarnation = 1,
              bool aLapsed = false)
  {
    wire::BackendServerRecord record;
    record.set_id("s");
    record.set_service("service");
    record.set_address("10.0.0.1:80");
    record.set_incarnation(aIncarnation);
    record.set_state(aState);
    record.set_lapsed(aLapsed);
    m_directory.UpdateFromControl(record);
  }

  ServerState State() const { return m_states.at("s"); }

  std::map<std::string, ServerState> m_states;
  Directory m_directory;
};

BOOST_AUTO_TEST_CASE(AServerThatSaidThatItLeavesStaysOutUntilItRestarts)
{
  DirectoryFixture test;
  test.Report(wire::BackendServerRecord::UP);
  test.m_directory.MarkLeaving(BackendServerId("s"));
  BOOST_TEST((test.State() == ServerState::kLeaving));
  test.Report(wire::BackendServerRecord::UP);
  BOOST_TEST((test.State() == ServerState::kLeaving));
  test.Report(wire::BackendServerRecord::UP, 2);
  BOOST_TEST((test.State() == ServerState::kUp));
}

BOOST_AUTO_TEST_CASE(ALeavingServerThatLapsedAndReportsAgainStaysOut)
{
  DirectoryFixture test;
  test.Report(wire::BackendServerRecord::UP);
  test.m_directory.MarkLeaving(BackendServerId("s"));
  test.Report(wire::BackendServerRecord::GONE, 1, true);
  BOOST_TEST((test.State() == ServerState::kGone));
  test.Report(wire::BackendServerRecord::UP);
  BOOST_TEST((test.State() == ServerState::kLeaving));
}

} // namespace fuchsiaramp
