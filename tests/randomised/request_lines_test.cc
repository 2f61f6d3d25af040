// Checks that each request that is not served is logged with the reason, in a
// fleet whose servers fail, and that successful requests are only sampled.
#define BOOST_TEST_MODULE request_lines
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

#include "testing/entry_fleet.h"

namespace fuchsiaramp {

using Fields = std::map<std::string, std::string>;

class LoggedFleet
{
public:
  explicit LoggedFleet(double aLoad)
    : m_fleet(SmallDeployment(), Options(aLoad))
  {
    m_fleet.onEvent = [this](const HostId&, const Event& aEvent) {
      if (aEvent.IsDebug()) {
        ++m_details[aEvent.Name()];
        return;
      }
      Fields fields;
      for (const EventField& field : aEvent.Fields()) {
        fields[field.key] = field.value;
      }
      m_lines[aEvent.Name()].push_back(fields);
    };
  }

  static Deployment SmallDeployment()
  {
    Deployment deployment = AdzoaProfile();
    deployment.servers = 12;
    deployment.entryHosts = 6;
    return deployment;
  }

  static FleetOptions Options(double aLoad)
  {
    FleetOptions options;
    options.load = aLoad;
    options.keyedShare = 0.0;
    return options;
  }

  // Requests whose outcome for the caller was not kAnswered.
  std::size_t Unserved() const
  {
    std::size_t unserved = 0;
    for (const RequestResult& result : m_fleet.Results()) {
      unserved += result.outcome == CallerOutcome::kAnswered ? 0 : 1;
    }
    return unserved;
  }

  std::vector<Fields> FailureLines() const
  {
    std::vector<Fields> lines;
    for (const char* name : { "request_refused", "request_failed" }) {
      const auto found = m_lines.find(name);
      if (found != m_lines.end()) {
        lines.insert(lines.end(), found->second.begin(), found->second.end());
      }
    }
    return lines;
  }

  EntryFleet m_fleet;
  std::map<std::string, std::vector<Fields>> m_lines;
  std::map<std::string, std::size_t> m_details;
};

BOOST_AUTO_TEST_CASE(LogsEachRequestThatIsNotServed)
{
  LoggedFleet logged(2.0); // twice the capacity of the servers
  EntryFleet& fleet = logged.m_fleet;
  fleet.Start();
  fleet.Run(std::chrono::seconds(10));
  ServerFaults faults;
  faults.failureRate = 1.0;
  fleet.Server(2).SetFaults(faults);
  fleet.Run(std::chrono::seconds(5));
  BOOST_TEST(logged.Unserved() > 100u);
  std::set<std::string> callers;
  for (const Fields& fields : logged.FailureLines()) {
    callers.insert(fields.at("caller_request"));
    BOOST_TEST(!fields.at("reason").empty());
    BOOST_TEST(fields.at("lists_version") != "0");
    BOOST_TEST(fields.count("queued") == 1u);
    BOOST_TEST(fields.count("running") == 1u);
  }
  BOOST_TEST(callers.size() == logged.Unserved());
}

BOOST_AUTO_TEST_CASE(LogsTheHealthEstimateWithEachFailedAttempt)
{
  LoggedFleet logged(0.3);
  EntryFleet& fleet = logged.m_fleet;
  fleet.Start();
  fleet.Run(std::chrono::seconds(5));
  ServerFaults faults;
  faults.failureRate = 1.0;
  fleet.Server(2).SetFaults(faults);
  fleet.Run(std::chrono::seconds(5));
  const std::vector<Fields>& failed = logged.m_lines["attempt_failed"];
  BOOST_REQUIRE(!failed.empty());
  for (const Fields& fields : failed) {
    BOOST_TEST(fields.count("sick") == 1u);
    BOOST_TEST(fields.count("outcome") == 1u);
  }
}

BOOST_AUTO_TEST_CASE(LogsOnlyASampleOfServedRequests)
{
  LoggedFleet logged(0.3);
  EntryFleet& fleet = logged.m_fleet;
  fleet.Start();
  fleet.Run(std::chrono::seconds(20));
  const std::size_t lines = logged.m_lines["request_served"].size();
  const std::size_t details = logged.m_details["request_served"];
  BOOST_REQUIRE(lines > 0u);
  BOOST_TEST(details > 50 * lines);
  BOOST_TEST(logged.m_lines["request_served"][0].at("one_of") == "64");
}

} // namespace fuchsiaramp
