#define BOOST_TEST_MODULE command_client
#include <boost/test/unit_test.hpp>

#include "control/command_client.h"

namespace fuchsiaramp {

// A control host whose settings name no ledger groups, or fewer, answered last.
BOOST_AUTO_TEST_CASE(FewerGroupsThanBeforeEndNoProcessWithCommandsInHand)
{
  CommandClient client({ HostId("control-1") },
                       [](const HostId&, const wire::Envelope&) {});
  const TimePoint now = FromMicros(1'000'000);
  client.SetGroupLeaders({ "control-1", "control-1", "control-1" });
  wire::Command command;
  command.mutable_finish()->mutable_key()->set_key("k");
  client.Submit(
    command, now + std::chrono::seconds(60), now, [](const auto*) {});
  client.SetGroupLeaders({ "control-1" });
  client.Submit(
    command, now + std::chrono::seconds(60), now, [](const auto*) {});
  client.Tick(now + std::chrono::seconds(1));
  BOOST_TEST(client.PendingCount() == 2u);
}

} // namespace fuchsiaramp
