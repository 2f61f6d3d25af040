#define BOOST_TEST_MODULE lists_state
#include <boost/test/unit_test.hpp>

#include "state/lists_state.h"

namespace fuchsiaramp {

static wire::PutLists
Put(const std::string& aChange,
    std::uint64_t aExpected,
    const std::string& aPlan)
{
  wire::PutLists put;
  put.set_change_id(aChange);
  put.set_expected_version(aExpected);
  put.mutable_delta()->set_from_version(aExpected);
  put.mutable_delta()->set_to_version(aExpected + 1);
  put.mutable_delta()->add_plans()->set_name(aPlan);
  put.set_digest(std::hash<std::string>()(aPlan));
  return put;
}

BOOST_AUTO_TEST_CASE(AcceptsOneOfConcurrentChangesAndRepeatsItsResult)
{
  ListsState state;
  BOOST_TEST(state.Put(Put("a", 0, "x"), 1).code() == wire::CommandResult::OK);
  const auto conflict = state.Put(Put("b", 0, "y"), 2);
  BOOST_TEST(conflict.code() == wire::CommandResult::VERSION_CONFLICT);
  state.Put(Put("c", 1, "z"), 3);
  wire::StateSnapshot snapshot;
  state.Save(snapshot);
  ListsState restored;
  restored.Restore(snapshot);
  const auto repeated = restored.Put(Put("a", 0, "x"), 4);
  BOOST_TEST(repeated.code() == wire::CommandResult::OK);
  BOOST_TEST(repeated.version() == 1u);
  BOOST_TEST(restored.Put(Put("b", 0, "y"), 5).code() ==
             wire::CommandResult::VERSION_CONFLICT);
  BOOST_TEST(restored.Put(Put("a", 0, "other"), 6).code() ==
             wire::CommandResult::INVALID);
  BOOST_TEST(restored.Current().Version() == ListsVersion(2));
}

BOOST_AUTO_TEST_CASE(DeltasLeadFromAnyVersionToTheCurrentOne)
{
  ListsState state;
  for (std::uint64_t i = 0; i < 5; ++i) {
    state.Put(Put("c" + std::to_string(i), i, "p" + std::to_string(i)), 1);
  }
  for (std::uint64_t have = 0; have <= 5; ++have) {
    Lists lists;
    for (const auto& delta : state.History().Deltas()) {
      if (delta.to_version() <= have) {
        lists.Apply(delta);
      }
    }
    for (const auto& delta : state.Since(ListsVersion(have))) {
      BOOST_TEST(lists.Apply(delta));
    }
    BOOST_TEST(lists.Version() == ListsVersion(5));
    BOOST_TEST(lists.PlanCount() == 5u);
  }
}

// A host that started again got all changes since the first version, of which
// later ones replace earlier ones.
BOOST_AUTO_TEST_CASE(AHostWithoutListsIsSentOnlyWhatIsInForce)
{
  ListsState state;
  std::size_t ofOneChange = 0;
  for (std::uint64_t i = 0; i < 30; ++i) {
    const wire::PutLists put = Put("c" + std::to_string(i), i, "plan");
    ofOneChange = put.delta().ByteSizeLong();
    state.Put(put, 1);
  }
  const std::vector<wire::ListsDelta> deltas = state.Since(ListsVersion(0));
  BOOST_REQUIRE(deltas.size() == 1u);
  BOOST_TEST(deltas.front().full());
  BOOST_TEST(deltas.front().ByteSizeLong() < 2 * ofOneChange);
  Lists lists;
  BOOST_TEST(lists.Apply(deltas.front()));
  BOOST_TEST(lists.Version() == state.Current().Version());
  BOOST_TEST(lists.PlanCount() == 1u);
  BOOST_TEST(state.Since(ListsVersion(29)).size() == 1u);
  BOOST_TEST(!state.Since(ListsVersion(29)).front().full());
}

static wire::PutLists
PutOfManyRoutes(std::uint64_t aVersion)
{
  wire::PutLists put;
  put.set_change_id("c" + std::to_string(aVersion));
  put.mutable_delta()->set_from_version(aVersion - 1);
  put.set_expected_version(aVersion - 1);
  put.mutable_delta()->set_to_version(aVersion);
  put.mutable_delta()->add_services()->set_name("profile");
  for (int i = 0; i < 1400; ++i) {
    wire::Route* route = put.mutable_delta()->add_open_routes();
    route->set_name("route-" + std::to_string(i));
    route->set_host("shop.example");
    route->set_path_prefix("/route-" + std::to_string(i) + '/');
    route->set_service("profile");
    route->set_timeout_us(4'000'000 + static_cast<std::int64_t>(aVersion % 2));
  }
  return put;
}

// Guards against control hosts that outgrow their memory because the history
// of changes was bounded only by their number.
BOOST_AUTO_TEST_CASE(LargeChangesDoNotGrowTheStateWithoutBound)
{
  ListsState state;
  wire::PutLists put;
  for (std::uint64_t version = 1; version <= 100; ++version) {
    put = PutOfManyRoutes(version);
    BOOST_REQUIRE(state.Put(put, 1).code() == wire::CommandResult::OK);
  }
  const std::size_t bytesOfLists = put.delta().ByteSizeLong();
  wire::StateSnapshot snapshot;
  state.Save(snapshot);
  BOOST_TEST(snapshot.ByteSizeLong() < 2 * bytesOfLists + (2 << 20));
  // A host that lacks few changes gets them, and one that lacks many gets the
  // lists.
  BOOST_TEST(state.Since(ListsVersion(98)).size() == 2u);
  const std::vector<wire::ListsDelta> full = state.Since(ListsVersion(1));
  BOOST_REQUIRE(full.size() == 1u);
  BOOST_TEST(full.front().full());
  BOOST_TEST(full.front().ByteSizeLong() < 2 * bytesOfLists);
}

// Guards against a host that is killed for its memory when it starts with a
// snapshot of an earlier build, whose history has any size.
BOOST_AUTO_TEST_CASE(OfALongStoredHistoryOnlyTheNewestChangesAreRestored)
{
  constexpr std::uint64_t versions = 100;
  ListsState state;
  wire::StateSnapshot snapshot;
  std::string history;
  for (std::uint64_t version = 1; version <= versions; ++version) {
    const wire::PutLists put = PutOfManyRoutes(version);
    state.Put(put, 1);
    history += put.delta().SerializeAsString();
    snapshot.add_history(put.delta().SerializeAsString());
  }
  *snapshot.mutable_lists() = state.Current().ToFullDelta();
  ListsState restored;
  restored.Restore(snapshot);
  wire::StateSnapshot saved;
  restored.Save(saved);
  BOOST_TEST(saved.ByteSizeLong() < history.size() / 4);
  BOOST_TEST(restored.Since(ListsVersion(versions - 2)).size() == 2u);
  BOOST_TEST(restored.Since(ListsVersion(1)).front().full());
}

BOOST_AUTO_TEST_CASE(RefusesToRemoveAPlanThatIsInUse)
{
  ListsState state;
  wire::PutLists put = Put("a", 0, "x");
  auto* customer = put.mutable_delta()->add_customers();
  customer->set_id("shop");
  customer->set_plan("x");
  customer->set_token_hash("t");
  BOOST_TEST(state.Put(put, 1).code() == wire::CommandResult::OK);
  wire::PutLists removal = Put("b", 1, "y");
  removal.mutable_delta()->add_removed_plans("x");
  BOOST_TEST(state.Put(removal, 2).code() == wire::CommandResult::INVALID);
  BOOST_TEST(state.Current().FindByTokenHash("t") != nullptr);
}

// A service that only repeatable routes lead to is probed differently; one that
// is taken for such a service loses once-only requests.
BOOST_AUTO_TEST_CASE(AServiceHasOnceOnlyRoutesThroughSplitsAsWell)
{
  wire::ListsDelta delta;
  delta.set_full(true);
  delta.set_to_version(1);
  wire::Route* read = delta.add_open_routes();
  read->set_name("read");
  read->set_host("h");
  read->set_path_prefix("/r/");
  read->set_service("catalog");
  read->set_repeatable(true);
  wire::Route* charge = delta.add_open_routes();
  charge->set_name("charge");
  charge->set_host("h");
  charge->set_path_prefix("/c/");
  charge->add_split()->set_service("payments");
  charge->add_split()->set_service("payments-next");
  Lists lists;
  BOOST_REQUIRE(lists.Apply(delta));
  BOOST_TEST(!lists.HasOnceOnlyRoute(ServiceName("catalog")));
  BOOST_TEST(lists.HasOnceOnlyRoute(ServiceName("payments-next")));
}

} // namespace fuchsiaramp
