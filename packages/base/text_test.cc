#define BOOST_TEST_MODULE text
#include <boost/test/unit_test.hpp>

#include <string>

#include "base/text.h"

namespace fuchsiaramp {

BOOST_AUTO_TEST_CASE(AcceptsUtf8WithoutControlCharacters)
{
  for (const char* text : { "",
                            "i-7f3a91c2",
                            "\xc3\xbc",
                            "\xe2\x82\xac",
                            "\xf0\x9f\x98\x80",
                            "a b" }) {
    BOOST_TEST(IsPrintable(text), text);
  }
}

BOOST_AUTO_TEST_CASE(RefusesOtherBytes)
{
  const std::string odd[] = { "\xff",         "\xc3",
                              "\xc0\xaf",     "\xe0\x80\x80",
                              "\xed\xa0\x80", "\xf4\x90\x80\x80",
                              "\x80",         "a\r\nb",
                              "\x7f",         std::string(1, '\0'),
                              "\xe2\x82z" };
  for (const std::string& text : odd) {
    BOOST_TEST(!IsPrintable(text), text);
  }
}

BOOST_AUTO_TEST_CASE(OnlyBytesThatAreNotUtf8AreEscaped)
{
  BOOST_TEST(EscapeInvalidUtf8("a\r\n\xc3\xbc%") == "a\r\n\xc3\xbc%");
  BOOST_TEST(EscapeInvalidUtf8("a\xff\xc3") == "a%ff%c3");
  BOOST_TEST(EscapeInvalidUtf8("\xed\xa0\x80z") == "%ed%a0%80z");
  BOOST_TEST(EscapeInvalidUtf8("\xe2\x82z") == "%e2%82z");
  BOOST_TEST(IsUtf8("a\r\n\xc3\xbc"));
  BOOST_TEST(!IsUtf8("a\xff"));
}

} // namespace fuchsiaramp
