#define BOOST_TEST_MODULE settings_document
#include <boost/test/unit_test.hpp>

#include "settings/settings_document.h"
#include "settings/yaml_reader.h"

namespace fuchsiaramp {

BOOST_AUTO_TEST_CASE(AFileWithoutASeparatorIsOneDocument)
{
  const SettingsText text = SplitSettings("a: 1\nb: 2\n");
  BOOST_TEST(text.document == "a: 1\nb: 2\n");
  BOOST_TEST(text.lines == "");
}

BOOST_AUTO_TEST_CASE(ASeparatorBeforeAllContentStartsTheDocument)
{
  const SettingsText text = SplitSettings("# c\n\n---\na: 1\n--- \nb: 2\n");
  BOOST_TEST(text.document == "# c\n\n---\na: 1\n");
  BOOST_TEST(text.lines == "b: 2\n");
  BOOST_TEST(text.linesBefore == 5);
}

BOOST_AUTO_TEST_CASE(ParsesEachLineByItself)
{
  const SettingsText text = SplitSettings("a: 1\n---\n"
                                          "# comment\n"
                                          "\n"
                                          "{{#F}}b: {{.}}{{/F}}\n"
                                          "6s\n"
                                          "c: [1\n"
                                          "  d: 2\r\n"
                                          "e: {f: 3}\n"
                                          "g: \xff\n"
                                          "h: '4'");
  Findings findings("f");
  const std::vector<YAML::Node> nodes = ParseLines(text, findings);
  BOOST_REQUIRE(nodes.size() == 2U);
  BOOST_TEST(nodes[0]["d"].as<std::string>() == "2");
  BOOST_TEST(nodes[1]["h"].as<std::string>() == "4");
  BOOST_TEST(PositionOf(nodes[1]).line == 11);
  BOOST_REQUIRE(findings.All().size() == 5U);
  BOOST_TEST(findings.All()[0].position.line == 5);
  BOOST_TEST(findings.All()[4].position.line == 10);
}

} // namespace fuchsiaramp
