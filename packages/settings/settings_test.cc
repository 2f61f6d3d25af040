#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include "settings/settings.h"

namespace fuchsiaramp {

static const char* const kValidSettings = R"(
host: entry-1
role: entry
region: ashanti
failure_domain: ashanti-a
caller_address: 127.0.0.1:8000
message_address: 127.0.0.1:7000
keys: {plaintext: true}
control_hosts:
  - {host: control-1, message_address: 127.0.0.1:7001}
routing: {floor: 0.7, request_timeout: 5s}
)";

BOOST_AUTO_TEST_CASE(ReadsValidSettings)
{
  Findings findings("good.yaml");
  const Settings settings = ReadSettings(kValidSettings, findings);
  BOOST_TEST(findings.Text() == "");
  BOOST_TEST(settings.host == HostId("entry-1"));
  BOOST_TEST(settings.routing.floor == 0.7);
  BOOST_TEST(ToSeconds(settings.routing.requestTimeout) == 5.0);
}

BOOST_AUTO_TEST_CASE(ReportsAllFindingsWithTheirPositions)
{
  Findings findings("bad.yaml");
  ReadSettings("host: a\n"
               "role: gateway\n"
               "caller_address: 1.2.3:80\n"
               "routing:\n"
               "  floor: 7\n"
               "  flor: 1\n"
               "keys: {plaintext: perhaps}\n",
               findings);
  const std::string text = findings.Text();
  BOOST_TEST(text.find("bad.yaml:2:7: 'role'") != std::string::npos);
  BOOST_TEST(text.find("bad.yaml:3:17: 'caller_address'") != std::string::npos);
  BOOST_TEST(text.find("bad.yaml:5:10: 'floor'") != std::string::npos);
  BOOST_TEST(text.find("bad.yaml:6:3: unknown key 'flor'") !=
             std::string::npos);
  BOOST_TEST(text.find("bad.yaml:7:19: 'plaintext'") != std::string::npos);
  BOOST_TEST(text.find("settings must contain 'region'") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ReportsSyntaxErrors)
{
  Findings findings("broken.yaml");
  ReadSettings("host: [a\n", findings);
  BOOST_TEST(!findings.IsEmpty());
}

BOOST_AUTO_TEST_CASE(ValidatesAddresses)
{
  BOOST_TEST(IsAddress("10.0.0.5:7000"));
  for (const char* bad : { "",
                           ":1",
                           "10.0.0.5",
                           "10.0.0.5:",
                           "10.0.0.5:0",
                           "10.0.0.5:70000",
                           "10.0.0.256:1",
                           "010.0.0.5:1",
                           "10.0.0:1",
                           "10.0.0.5.6:1",
                           "a.b.c.d:1",
                           "10.0.0.5.:1" }) {
    BOOST_TEST(!IsAddress(bad), bad);
  }
}

static Settings
ReadWith(const std::string& aLine)
{
  Findings findings("entry.yaml");
  Settings settings =
    ReadSettings(kValidSettings + ("address_lifetime: 1s\n" + aLine), findings);
  BOOST_TEST(findings.Text() == "");
  return settings;
}

BOOST_AUTO_TEST_CASE(ReadsTheGracePeriod)
{
  const Settings settings = ReadWith("grace_period: '6s'\n");
  BOOST_TEST(settings.isGracePeriodNamed);
  BOOST_TEST(ToSeconds(settings.gracePeriod.atLeast) == 6.0);
  BOOST_TEST(ToSeconds(settings.gracePeriod.atMost) == 6.0);
}

// A daemon that was told no grace period counted on more than a minute.
BOOST_AUTO_TEST_CASE(CountsOnAShortStopIfNoSettingNamesTheGracePeriod)
{
  for (const char* const line :
       { "",
         "grace_period: ''\n",
         "grace_period: '{{#Bounds.GracePeriodS}}{{.}}s"
         "{{/Bounds.GracePeriodS}}'\n" }) {
    const Settings settings = ReadWith(line);
    BOOST_TEST(!settings.isGracePeriodNamed);
    BOOST_TEST(ToSeconds(settings.gracePeriod.atLeast) == 5.0);
    BOOST_TEST(ToSeconds(settings.gracePeriod.atMost) == 10.0);
  }
}

BOOST_AUTO_TEST_CASE(ReportsAGracePeriodThatIsNoDuration)
{
  Findings findings("entry.yaml");
  ReadSettings(std::string(kValidSettings) + "grace_period: soon\n", findings);
  BOOST_TEST(findings.Text().find("'grace_period'") != std::string::npos);
}

} // namespace fuchsiaramp
