#define BOOST_TEST_MODULE lists_document
#include <boost/test/unit_test.hpp>

#include "base/digest.h"
#include "state/lists_document.h"

namespace fuchsiaramp {

static std::string
Document(const std::string& aExtra)
{
  return "plans:\n"
         "  - name: listener\n"
         "    routes:\n"
         "      - {name: all, service: profile, path_prefix: /, repeatable: "
         "true}\n"
         "      - {name: buy, service: profile, path_prefix: /buy, repeatable: "
         "false}\n"
         "customers:\n"
         "  - {id: shop-7, plan: listener, token_hash: " +
         Sha256Hex("t7") + "}\n" + aExtra;
}

// Entry hosts could not read a push with such a name.
BOOST_AUTO_TEST_CASE(ADocumentThatIsNotUtf8IsRefused)
{
  for (const char* name : { "\xff", "a\xc3", "\xed\xa0\x80" }) {
    Findings findings("lists.yaml");
    const wire::ListsDelta content =
      ReadLists("plans:\n  - {name: " + std::string(name) + "}\n", findings);
    BOOST_TEST(!findings.IsEmpty());
    BOOST_TEST(content.plans().empty());
  }
  Findings findings("lists.yaml");
  ReadLists("plans:\n  - {name: \"\\xff\xc3\xbc\"}\n", findings);
  BOOST_TEST(findings.Text() == "");
}

BOOST_AUTO_TEST_CASE(ReadsFindsRoutesAndWritesAnEqualDocument)
{
  Findings findings("lists.yaml");
  const wire::ListsDelta content = ReadLists(Document(""), findings);
  BOOST_TEST(findings.Text() == "");
  Lists lists;
  BOOST_TEST(lists.Apply(Difference(lists, content)));
  const wire::Customer* customer = lists.FindByTokenHash(Sha256Hex("t7"));
  BOOST_REQUIRE(customer != nullptr);
  const ServiceName service("profile");
  BOOST_TEST(lists.FindRoute(*customer, service, "/buy/1")->name() == "buy");
  BOOST_TEST(lists.FindRoute(*customer, service, "/curve")->name() == "all");
  BOOST_TEST(lists.FindRoute(*customer, ServiceName("x"), "/") == nullptr);
  const wire::ListsDelta reread =
    ReadLists(WriteLists(lists.ToFullDelta()), findings);
  const wire::ListsDelta change = Difference(lists, reread);
  BOOST_TEST(change.plans_size() + change.customers_size() == 0);
}

BOOST_AUTO_TEST_CASE(ReportsEveryErrorWithItsPlace)
{
  Findings findings("lists.yaml");
  ReadLists(Document("  - {id: shop-7, plan: gone, token_hash: zz}\n"
                     "colour: red\n"),
            findings);
  const std::string text = findings.Text();
  BOOST_TEST(text.find("lists.yaml:8:5: customer 'shop-7' is defined twice") !=
             std::string::npos);
  BOOST_TEST(text.find("unknown plan 'gone'") != std::string::npos);
  BOOST_TEST(text.find("'token_hash' must be") != std::string::npos);
  BOOST_TEST(text.find("lists.yaml:9:1: unknown key 'colour'") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(RefusesDeeplyNestedDocuments)
{
  std::string blocks;
  for (int i = 0; i < 20'000; ++i) {
    blocks += "- ";
  }
  std::string maps = "plans: ";
  for (int i = 0; i < 20'000; ++i) {
    maps += "{a: ";
  }
  const std::string anchors = "plans: &a [*a]\ncustomers: &b {x: *b}\n";
  for (const std::string& text : { std::string(100'000, '['),
                                   "plans: " + std::string(100'000, '['),
                                   blocks,
                                   maps,
                                   anchors }) {
    Findings findings("lists.yaml");
    ReadLists(text, findings);
    BOOST_TEST(!findings.IsEmpty(), text.substr(0, 20));
  }
}

// Stored lists may hold what no check refused. The route was looked up by its
// former host, and the lookup threw.
BOOST_AUTO_TEST_CASE(ANameOfTwoRoutesLeavesNoEntryBehind)
{
  wire::ListsDelta delta;
  delta.set_to_version(1);
  for (const char* host : { "a.example", "b.example" }) {
    wire::Route* route = delta.add_open_routes();
    route->set_name("twice");
    route->set_host(host);
    route->set_path_prefix("/");
  }
  Lists lists;
  BOOST_TEST(lists.Apply(delta));
  wire::ListsDelta removal;
  removal.set_from_version(1);
  removal.set_to_version(2);
  removal.add_removed_open_routes("twice");
  BOOST_TEST(lists.Apply(removal));
  BOOST_TEST(lists.FindOpenRoute("a.example", "/") == nullptr);
  BOOST_TEST(lists.FindOpenRoute("b.example", "/") == nullptr);
}

BOOST_AUTO_TEST_CASE(DifferenceRemovesMissingPlansAndCustomers)
{
  Findings findings("lists.yaml");
  Lists lists;
  lists.Apply(Difference(lists, ReadLists(Document(""), findings)));
  const auto change = Difference(lists, ReadLists("plans: []\n", findings));
  BOOST_TEST(change.removed_plans_size() == 1);
  BOOST_TEST(change.removed_customers_size() == 1);
  BOOST_TEST(lists.Apply(change));
  BOOST_TEST(lists.CustomerCount() == 0u);
}

} // namespace fuchsiaramp
