#define BOOST_TEST_MODULE request_rate
#include <boost/test/unit_test.hpp>

#include "base/request_rate.h"

namespace fuchsiaramp {

BOOST_AUTO_TEST_CASE(ReadsDecimalNumbers)
{
  BOOST_TEST(ParseRequestRate("1")->perSecond == 1.0);
  BOOST_TEST(ParseRequestRate("1.4")->perSecond == 1.4);
  BOOST_TEST(ParseRequestRate("0")->perSecond == 0.0);
  BOOST_TEST(ParseRequestRate("1e9")->perSecond == 1e9);
  BOOST_TEST(ParseRequestRate("1e300")->perSecond == 1e9);
}

BOOST_AUTO_TEST_CASE(InvalidNumbersAreNoRate)
{
  for (const char* invalid : { "",
                               "-1",
                               "-0.5",
                               "nan",
                               "inf",
                               "-inf",
                               "1e999",
                               "1 ",
                               " 1",
                               "1/s",
                               "x" }) {
    BOOST_TEST_CONTEXT('"' << invalid << '"')
    {
      BOOST_TEST(!ParseRequestRate(invalid).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(AnInvalidHeaderNeitherNamesALimitNorEndsOne)
{
  BOOST_TEST(!ParseLimitNotice(true, "nan").has_value());
  BOOST_TEST(!ParseLimitNotice(true, "").has_value());
  BOOST_REQUIRE(ParseLimitNotice(false, "").has_value());
  BOOST_TEST(!ParseLimitNotice(false, "")->rate.has_value());
  BOOST_TEST(ParseLimitNotice(true, "2.5")->rate->perSecond == 2.5);
}

} // namespace fuchsiaramp
