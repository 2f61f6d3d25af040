#define BOOST_TEST_MODULE scenario
#include <boost/test/unit_test.hpp>

#include "scenario.h"

namespace fuchsiaramp {

BOOST_AUTO_TEST_CASE(ReportsUnknownStatements)
{
  Findings findings("x.scn");
  ParseScenario("fleet adzoa\nrun 5\nserver two fail 1 # note\n\nheal\n",
                findings);
  const std::string text = findings.Text();
  BOOST_TEST(text.find("x.scn:2:1:") != std::string::npos);
  BOOST_TEST(text.find("x.scn:3:1:") != std::string::npos);
  BOOST_TEST(findings.All().size() == 2u);
}

BOOST_AUTO_TEST_CASE(ReportsFailedExpectations)
{
  Findings findings("x.scn");
  RunScenario(
    ParseScenario("fleet small\nrun 8s\nexpect restricted 1 within 1s\n",
                  findings),
    findings);
  BOOST_TEST(findings.Text().find("x.scn:3:1:") != std::string::npos);
}

} // namespace fuchsiaramp
