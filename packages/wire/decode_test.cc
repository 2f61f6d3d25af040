#define BOOST_TEST_MODULE decode
#include <boost/test/unit_test.hpp>

#include <string>

#include "wire/decode.h"
#include "wire/messages.h"

namespace fuchsiaramp {

static wire::StateSnapshot
Snapshot(const std::string& aOdd)
{
  wire::StateSnapshot snapshot;
  snapshot.set_time_us(-5);
  wire::Plan* plan = snapshot.mutable_lists()->add_plans();
  plan->set_name("plan");
  wire::Route* route = plan->add_routes();
  route->set_name(aOdd);
  route->add_split()->set_weight(0.5);
  for (int i = 0; i < 20; ++i) {
    snapshot.add_changes()->set_operator_name(aOdd);
  }
  wire::LedgerRecord* record = snapshot.add_ledger();
  record->mutable_key()->set_key("k");
  record->set_answer("\xff\xfe");
  record->add_fenced(aOdd);
  return snapshot;
}

BOOST_AUTO_TEST_CASE(TextThatIsNotUtf8IsEscapedAndNothingElseIsLost)
{
  std::size_t escaped = 0;
  wire::StateSnapshot decoded;
  BOOST_REQUIRE(
    Decode(Snapshot("o\xff\xc3p").SerializeAsString(), decoded, escaped));
  BOOST_TEST(escaped == 22u);
  BOOST_TEST(decoded.SerializeAsString() ==
             Snapshot("o%ff%c3p").SerializeAsString());
}

BOOST_AUTO_TEST_CASE(ValidMessagesAreNotChanged)
{
  std::size_t escaped = 0;
  wire::StateSnapshot decoded;
  const std::string bytes = Snapshot("\xc3\xbc %ff").SerializeAsString();
  BOOST_REQUIRE(Decode(bytes, decoded, escaped));
  BOOST_TEST(escaped == 0u);
  BOOST_TEST(decoded.SerializeAsString() == bytes);
}

BOOST_AUTO_TEST_CASE(MessagesThatAreCutOffOrChangedEndNothing)
{
  const std::string bytes = Snapshot("o\xff").SerializeAsString();
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    for (const char byte : { '\x00', '\x7f', '\xff' }) {
      std::size_t escaped = 0;
      wire::StateSnapshot decoded;
      Decode(bytes.substr(0, i), decoded, escaped);
      std::string changed = bytes;
      changed[i] = byte;
      Decode(changed, decoded, escaped);
    }
  }
}

} // namespace fuchsiaramp
