#define BOOST_TEST_MODULE announcement
#include <boost/test/unit_test.hpp>

#include "net/announcement.h"

namespace fuchsiaramp {

BOOST_AUTO_TEST_CASE(ParsesACompleteAnnouncement)
{
  std::string problem;
  const auto record =
    ParseAnnouncement("s1",
                      R"({"service":"p","address":"127.0.0.1:1","region":"r",
        "failure_domain":"d","slots":2,"incarnation":5,"state":"leaving"})",
                      problem);
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record->slots() == 2u);
  BOOST_TEST((record->state() == wire::BackendServerRecord::LEAVING));
}

BOOST_AUTO_TEST_CASE(ReportsAllProblemsAtOnce)
{
  std::string problem;
  BOOST_TEST(!ParseAnnouncement(
    "", R"({"service":3,"address":"a:1","slots":-1,"state":"x"})", problem));
  for (const char* part : { "'service'",
                            "'address'",
                            "'slots'",
                            "'state'",
                            "'region'",
                            "'incarnation'",
                            "the id" }) {
    BOOST_TEST(problem.find(part) != std::string::npos, part);
  }
  BOOST_TEST(!ParseAnnouncement("s", "[1]", problem));
}

// Gossip that carries a text that is no UTF-8 is refused as a whole by its
// receivers.
BOOST_AUTO_TEST_CASE(RefusesTextThatNoMessageCanCarry)
{
  const std::string body =
    R"({"service":"p","address":"127.0.0.1:1","region":"r",
        "failure_domain":"d","slots":2,"incarnation":5,"state":"up"})";
  for (const char* id : { "\xff", "a\xc3", "a\r\nb", "" }) {
    std::string problem;
    BOOST_TEST(!ParseAnnouncement(id, body, problem), id);
    BOOST_TEST(problem != "");
  }
  std::string problem;
  BOOST_TEST(
    !ParseAnnouncement("s", std::string(100'000, '['), problem).has_value());
}

} // namespace fuchsiaramp
