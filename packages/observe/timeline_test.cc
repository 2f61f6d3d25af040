#define BOOST_TEST_MODULE timeline
#include <boost/test/unit_test.hpp>

#include "observe/timeline.h"

namespace fuchsiaramp {

BOOST_AUTO_TEST_CASE(SortsByCausalClockAndNotByWallClock)
{
  Timeline timeline;
  timeline.AddLog("time=10:00:09 level=INFO event=sent host=a incarnation=1 "
                  "sequence=1 clock=4 request=7\n"
                  "noise\n");
  timeline.AddLog("time=10:00:01 level=INFO event=received host=b "
                  "incarnation=1 sequence=9 clock=5 request=7 "
                  "reason=\"a \\\"quoted\\\" text\"\n");
  timeline.Sort();
  BOOST_REQUIRE(timeline.Events().size() == 2u);
  BOOST_TEST(timeline.SkippedLines() == 1u);
  BOOST_TEST(timeline.Events()[0].name == "sent");
  BOOST_TEST(timeline.Events()[1].fields.at("reason") == "a \"quoted\" text");
  BOOST_TEST(timeline.Text({ { "request", "8" } }).empty());
  const std::string html = timeline.Html({ { "host", "b" } });
  BOOST_TEST(html.find("&quot;quoted&quot;") != std::string::npos);
  BOOST_TEST(html.find("sent") == std::string::npos);
}

} // namespace fuchsiaramp
