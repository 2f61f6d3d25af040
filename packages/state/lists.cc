#include "state/lists.h"

#include <algorithm>
#include <unordered_set>

#include "base/invariant.h"

namespace fuchsiaramp {

bool
Lists::CanApply(const wire::ListsDelta& aDelta) const
{
  const bool later = aDelta.to_version() > m_version.Value();
  return later && (aDelta.full() || aDelta.from_version() == m_version.Value());
}

bool
Lists::Apply(const wire::ListsDelta& aDelta)
{
  if (!CanApply(aDelta)) {
    return false;
  }
  if (aDelta.full()) {
    m_plans.clear();
    m_customers.clear();
    m_customerByTokenHash.clear();
    m_openRoutes.clear();
    m_openRoutesByHost.clear();
    m_teams.clear();
    m_teamByKeyHash.clear();
    m_services.clear();
    m_limits.Clear();
  }
  ApplyRouting(aDelta);
  ApplyTeams(aDelta);
  for (const std::string& id : aDelta.removed_customers()) {
    RemoveCustomer(id);
  }
  for (const std::string& name : aDelta.removed_plans()) {
    m_plans.erase(name);
  }
  for (const wire::Plan& plan : aDelta.plans()) {
    PutPlan(plan);
  }
  for (const wire::Customer& customer : aDelta.customers()) {
    RemoveCustomer(customer.id());
  }
  for (const wire::Customer& customer : aDelta.customers()) {
    PutCustomer(customer);
  }
  CheckInvariant(aDelta.to_version() > m_version.Value(),
                 "the version of the lists increases");
  m_version = ListsVersion(aDelta.to_version());
  return true;
}

void
Lists::ApplyRouting(const wire::ListsDelta& aDelta)
{
  for (const std::string& name : aDelta.removed_open_routes()) {
    RemoveOpenRoute(name);
  }
  for (const wire::Route& route : aDelta.open_routes()) {
    RemoveOpenRoute(route.name());
  }
  for (const wire::Route& route : aDelta.open_routes()) {
    // A name that occurs twice must leave no entry of its former host.
    RemoveOpenRoute(route.name());
    m_openRoutes[route.name()] = route;
    m_openRoutesByHost[route.host()][route.path_prefix()] = route.name();
  }
  for (const std::string& name : aDelta.removed_services()) {
    m_services.erase(name);
  }
  for (const wire::Service& service : aDelta.services()) {
    m_services[service.name()] = service;
  }
  if (aDelta.has_limits()) {
    m_limits = aDelta.limits();
  }
}

void
Lists::RemoveOpenRoute(const std::string& aName)
{
  const auto it = m_openRoutes.find(aName);
  if (it == m_openRoutes.end()) {
    return;
  }
  auto& prefixes = m_openRoutesByHost[it->second.host()];
  const auto prefix = prefixes.find(it->second.path_prefix());
  if (prefix != prefixes.end() && prefix->second == aName) {
    prefixes.erase(prefix);
  }
  m_openRoutes.erase(it);
}

void
Lists::PutPlan(const wire::Plan& aPlan)
{
  PlanEntry entry;
  entry.plan = aPlan;
  for (int i = 0; i < aPlan.routes_size(); ++i) {
    entry.routesByService[aPlan.routes(i).service()].push_back(i);
  }
  for (auto& [service, indices] : entry.routesByService) {
    std::stable_sort(
      indices.begin(), indices.end(), [&aPlan](int aLeft, int aRight) {
        return aPlan.routes(aLeft).path_prefix().size() >
               aPlan.routes(aRight).path_prefix().size();
      });
  }
  m_plans[aPlan.name()] = std::move(entry);
}

void
Lists::PutCustomer(const wire::Customer& aCustomer)
{
  m_customers[aCustomer.id()] = aCustomer;
  m_customerByTokenHash[aCustomer.token_hash()] = aCustomer.id();
}

void
Lists::RemoveCustomer(const std::string& aId)
{
  const auto it = m_customers.find(aId);
  if (it == m_customers.end()) {
    return;
  }
  const auto token = m_customerByTokenHash.find(it->second.token_hash());
  if (token != m_customerByTokenHash.end() && token->second == aId) {
    m_customerByTokenHash.erase(token);
  }
  m_customers.erase(it);
}

// All former keys are removed before any new one is added, so that a key may
// move from one team to another.
void
Lists::ApplyTeams(const wire::ListsDelta& aDelta)
{
  for (const std::string& name : aDelta.removed_teams()) {
    RemoveTeam(name);
  }
  for (const wire::Team& team : aDelta.teams()) {
    RemoveTeam(team.name());
  }
  for (const wire::Team& team : aDelta.teams()) {
    // A name that occurs twice must leave none of its former keys.
    RemoveTeam(team.name());
    PutTeam(team);
  }
}

void
Lists::PutTeam(const wire::Team& aTeam)
{
  m_teams[aTeam.name()] = aTeam;
  for (const wire::TeamKey& key : aTeam.keys()) {
    m_teamByKeyHash[key.hash()] = aTeam.name();
  }
}

void
Lists::RemoveTeam(const std::string& aName)
{
  const auto it = m_teams.find(aName);
  if (it == m_teams.end()) {
    return;
  }
  for (const wire::TeamKey& key : it->second.keys()) {
    const auto holder = m_teamByKeyHash.find(key.hash());
    if (holder != m_teamByKeyHash.end() && holder->second == aName) {
      m_teamByKeyHash.erase(holder);
    }
  }
  m_teams.erase(it);
}

// Why a key would have two teams after the delta; empty if none would.
std::string
Lists::TeamsError(const wire::ListsDelta& aDelta) const
{
  std::unordered_set<std::string> replaced(aDelta.removed_teams().begin(),
                                           aDelta.removed_teams().end());
  for (const wire::Team& team : aDelta.teams()) {
    replaced.insert(team.name());
  }
  std::unordered_map<std::string, std::string> holders;
  for (const wire::Team& team : aDelta.teams()) {
    for (const wire::TeamKey& key : team.keys()) {
      std::string holder =
        holders.try_emplace(key.hash(), team.name()).first->second;
      const auto former = m_teamByKeyHash.find(key.hash());
      if (!aDelta.full() && former != m_teamByKeyHash.end() &&
          replaced.count(former->second) == 0) {
        holder = former->second;
      }
      if (holder != team.name()) {
        return "teams '" + holder + "' and '" + team.name() +
               "' have the same key";
      }
    }
  }
  return "";
}

std::string
Lists::ValidationError(const wire::ListsDelta& aDelta) const
{
  std::unordered_set<std::string> newPlans;
  for (const wire::Plan& plan : aDelta.plans()) {
    newPlans.insert(plan.name());
  }
  const std::unordered_set<std::string> removedPlans(
    aDelta.removed_plans().begin(), aDelta.removed_plans().end());
  const auto planExists = [&](const std::string& aName) {
    const bool remains = !aDelta.full() && m_plans.count(aName) != 0 &&
                         removedPlans.count(aName) == 0;
    return remains || newPlans.count(aName) != 0;
  };
  std::unordered_set<std::string> replaced(aDelta.removed_customers().begin(),
                                           aDelta.removed_customers().end());
  for (const wire::Customer& customer : aDelta.customers()) {
    replaced.insert(customer.id());
  }
  std::unordered_set<std::string> tokens;
  for (const wire::Customer& customer : aDelta.customers()) {
    if (!planExists(customer.plan())) {
      return "customer '" + customer.id() + "' refers to unknown plan '" +
             customer.plan() + "'";
    }
    const auto holder = m_customerByTokenHash.find(customer.token_hash());
    const bool taken = !aDelta.full() &&
                       holder != m_customerByTokenHash.end() &&
                       replaced.count(holder->second) == 0;
    if (taken || !tokens.insert(customer.token_hash()).second) {
      return "customer '" + customer.id() +
             "' has the same token as another customer";
    }
  }
  std::string teamsError = TeamsError(aDelta);
  if (!teamsError.empty() || removedPlans.empty() || aDelta.full()) {
    return teamsError;
  }
  for (const auto& [id, customer] : m_customers) {
    if (replaced.count(id) == 0 && !planExists(customer.plan())) {
      return "customer '" + id + "' still refers to the removed plan '" +
             customer.plan() + "'";
    }
  }
  return "";
}

wire::ListsDelta
Lists::ToFullDelta() const
{
  wire::ListsDelta delta;
  delta.set_full(true);
  delta.set_to_version(m_version.Value());
  for (const auto& [name, entry] : m_plans) {
    *delta.add_plans() = entry.plan;
  }
  for (const auto& [id, customer] : m_customers) {
    *delta.add_customers() = customer;
  }
  for (const auto& [name, route] : m_openRoutes) {
    *delta.add_open_routes() = route;
  }
  for (const auto& [name, service] : m_services) {
    *delta.add_services() = service;
  }
  for (const auto& [name, team] : m_teams) {
    *delta.add_teams() = team;
  }
  *delta.mutable_limits() = m_limits;
  const auto byName = [](const auto& aLeft, const auto& aRight) {
    return aLeft.name() < aRight.name();
  };
  const auto byId = [](const auto& aLeft, const auto& aRight) {
    return aLeft.id() < aRight.id();
  };
  std::sort(
    delta.mutable_plans()->begin(), delta.mutable_plans()->end(), byName);
  std::sort(
    delta.mutable_customers()->begin(), delta.mutable_customers()->end(), byId);
  return delta;
}

const wire::Customer*
Lists::FindByTokenHash(const std::string& aTokenHash) const
{
  const auto it = m_customerByTokenHash.find(aTokenHash);
  return it == m_customerByTokenHash.end()
           ? nullptr
           : FindCustomer(CustomerId(it->second));
}

const wire::Customer*
Lists::FindCustomer(const CustomerId& aCustomer) const
{
  const auto it = m_customers.find(aCustomer.Value());
  return it == m_customers.end() ? nullptr : &it->second;
}

const wire::Plan*
Lists::FindPlan(const PlanName& aPlan) const
{
  const auto it = m_plans.find(aPlan.Value());
  return it == m_plans.end() ? nullptr : &it->second.plan;
}

const wire::Route*
Lists::FindRoute(const wire::Customer& aCustomer,
                 const ServiceName& aService,
                 const std::string& aPath) const
{
  const auto plan = m_plans.find(aCustomer.plan());
  if (plan == m_plans.end()) {
    return nullptr;
  }
  const auto routes = plan->second.routesByService.find(aService.Value());
  if (routes == plan->second.routesByService.end()) {
    return nullptr;
  }
  for (int index : routes->second) {
    const wire::Route& route = plan->second.plan.routes(index);
    if (aPath.compare(0, route.path_prefix().size(), route.path_prefix()) ==
        0) {
      return &route;
    }
  }
  return nullptr;
}

const wire::Route*
Lists::FindOpenRoute(const std::string& aHost, const std::string& aPath) const
{
  const auto host = m_openRoutesByHost.find(aHost);
  if (host == m_openRoutesByHost.end()) {
    return nullptr;
  }
  // Path prefixes end with a slash, so only substrings of the path that end
  // with a slash can match.
  for (std::size_t end = aPath.rfind('/'); end != std::string::npos;
       end = end == 0 ? std::string::npos : aPath.rfind('/', end - 1)) {
    const auto route = host->second.find(aPath.substr(0, end + 1));
    if (route != host->second.end()) {
      return &m_openRoutes.at(route->second);
    }
  }
  return nullptr;
}

bool
Lists::HasOnceOnlyRoute(const ServiceName& aService) const
{
  const auto isOnceOnly = [&](const wire::Route& aRoute) {
    const bool leadsThere =
      aRoute.service() == aService.Value() ||
      std::any_of(aRoute.split().begin(),
                  aRoute.split().end(),
                  [&](const wire::ServiceShare& aShare) {
                    return aShare.service() == aService.Value();
                  });
    return leadsThere && !aRoute.repeatable();
  };
  return std::any_of(
           m_openRoutes.begin(),
           m_openRoutes.end(),
           [&](const auto& aItem) { return isOnceOnly(aItem.second); }) ||
         std::any_of(m_plans.begin(), m_plans.end(), [&](const auto& aItem) {
           const auto& routes = aItem.second.plan.routes();
           return std::any_of(routes.begin(), routes.end(), isOnceOnly);
         });
}

const wire::Route*
Lists::FindOpenRouteByName(const std::string& aName) const
{
  const auto it = m_openRoutes.find(aName);
  return it == m_openRoutes.end() ? nullptr : &it->second;
}

const wire::Team*
Lists::FindTeam(const TeamName& aTeam) const
{
  const auto it = m_teams.find(aTeam.Value());
  return it == m_teams.end() ? nullptr : &it->second;
}

const wire::Team*
Lists::FindTeamByKeyHash(const std::string& aKeyHash) const
{
  const auto it = m_teamByKeyHash.find(aKeyHash);
  return it == m_teamByKeyHash.end() ? nullptr : FindTeam(TeamName(it->second));
}

bool
Lists::DefinesService(const ServiceName& aService) const
{
  return FindService(aService) != nullptr ||
         std::any_of(m_plans.begin(), m_plans.end(), [&](const auto& aPlan) {
           return aPlan.second.routesByService.count(aService.Value()) != 0;
         });
}

const wire::Service*
Lists::FindService(const ServiceName& aService) const
{
  const auto it = m_services.find(aService.Value());
  return it == m_services.end() ? nullptr : &it->second;
}

void
RemoveKeyTexts(wire::ListsDelta& aDelta)
{
  for (wire::Team& team : *aDelta.mutable_teams()) {
    for (wire::TeamKey& key : *team.mutable_keys()) {
      key.clear_text();
    }
  }
}

} // namespace fuchsiaramp
