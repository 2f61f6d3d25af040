#define BOOST_TEST_MODULE native_api
#include <boost/test/unit_test.hpp>

#include <variant>

#include "net/http_responses.h"
#include "net/native_api.h"
#include "state/group_state.h"

namespace fuchsiaramp {

namespace http = boost::beast::http;

static ControlRequest
PutListsRequest(const std::string& aChangeId, const std::string& aOperator)
{
  HttpExchange::Request request;
  request.method(http::verb::put);
  request.target(std::string(kSystemPrefix) + "lists?change-id=" + aChangeId +
                 "&operator=" + aOperator + "&expected-version=0");
  return NativeApi(Settings()).control.parseRequest(request);
}

// The log stored the text, and a restart from the next snapshot failed.
BOOST_AUTO_TEST_CASE(AChangeThatIsAcceptedCanBeReadFromASnapshot)
{
  const std::string texts[] = { "o", "\xff", "\xc3", "a\x7f", "\xc3\xbc" };
  for (const std::string& text : texts) {
    const ControlRequest parsed = PutListsRequest("c", text);
    const auto* request = std::get_if<ChangeRequest>(&parsed);
    BOOST_TEST((request != nullptr) == (text == "o" || text == "\xc3\xbc"));
    if (request == nullptr) {
      continue;
    }
    wire::Command command;
    command.mutable_put_lists()->set_change_id(request->change.changeId);
    command.mutable_put_lists()->set_operator_name(
      request->change.operatorName);
    command.mutable_put_lists()->mutable_delta()->set_to_version(1);
    wire::Command stored;
    BOOST_TEST(stored.ParseFromString(command.SerializeAsString()));
    GroupState state{ LedgerOptions() };
    BOOST_TEST(state.Apply(stored).code() == wire::CommandResult::OK);
    GroupState restored{ LedgerOptions() };
    restored.Restore(state.Snapshot());
    BOOST_TEST(restored.ListsPart().Current().Version().Value() == 1u);
  }
  BOOST_TEST(
    !std::holds_alternative<ChangeRequest>(PutListsRequest("\xff", "o")));
}

} // namespace fuchsiaramp
