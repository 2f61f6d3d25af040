// The two lists in memory: the customers with the plans that define their
// routes, and the open routes for callers without a token. If the lists hold
// teams, callers of open routes that are not public need the key of a team.
//
// The content changes only by deltas, each of which leads from one version to a
// later one, so the version never decreases.
//
//   Lists lists;
//   if (lists.Apply(delta)) { ... }
//   const wire::Customer* customer = lists.FindByTokenHash(hash);
//   const wire::Route* route = lists.FindRoute(*customer, service, path);
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "wire/messages.h"

namespace fuchsiaramp {

class Lists
{
public:
  ListsVersion Version() const { return m_version; }

  // Whether the delta leads from the current version to a later one.
  bool CanApply(const wire::ListsDelta& aDelta) const;

  // Applies the delta, or returns false without changes if CanApply is false.
  bool Apply(const wire::ListsDelta& aDelta);

  // Why the content after the delta would be invalid; empty if it is valid.
  std::string ValidationError(const wire::ListsDelta& aDelta) const;

  // The entire content as one delta.
  wire::ListsDelta ToFullDelta() const;

  // Null if there is none. Pointers are valid until the next Apply.
  const wire::Customer* FindByTokenHash(const std::string& aTokenHash) const;
  const wire::Customer* FindCustomer(const CustomerId& aCustomer) const;
  const wire::Plan* FindPlan(const PlanName& aPlan) const;
  // The route of the customer's plan with the longest path prefix of aPath.
  const wire::Route* FindRoute(const wire::Customer& aCustomer,
                               const ServiceName& aService,
                               const std::string& aPath) const;

  // The open route of the host with the longest path prefix of aPath.
  const wire::Route* FindOpenRoute(const std::string& aHost,
                                   const std::string& aPath) const;
  // Whether a route to the service may not be repeated.
  bool HasOnceOnlyRoute(const ServiceName& aService) const;
  const wire::Route* FindOpenRouteByName(const std::string& aName) const;
  // Whether requests on open routes need keys.
  bool HasTeams() const { return !m_teams.empty(); }
  const wire::Team* FindTeam(const TeamName& aTeam) const;
  // aKeyHash: the SHA-256 of the key, lower-case hexadecimal.
  const wire::Team* FindTeamByKeyHash(const std::string& aKeyHash) const;
  // Whether the lists define any services of open routes.
  bool DefinesServices() const { return !m_services.empty(); }
  // Whether they define this one, or a plan has routes to it.
  bool DefinesService(const ServiceName& aService) const;
  // Null if the lists do not define the service.
  const wire::Service* FindService(const ServiceName& aService) const;
  const wire::RequestLimits& Limits() const { return m_limits; }

  std::size_t PlanCount() const { return m_plans.size(); }
  std::size_t CustomerCount() const { return m_customers.size(); }
  std::size_t TeamCount() const { return m_teams.size(); }

private:
  struct PlanEntry
  {
    wire::Plan plan;
    // Indices into plan.routes(), longest path prefix first.
    std::unordered_map<std::string, std::vector<int>> routesByService;
  };

  void PutPlan(const wire::Plan& aPlan);
  void ApplyRouting(const wire::ListsDelta& aDelta);
  void RemoveOpenRoute(const std::string& aName);
  void PutCustomer(const wire::Customer& aCustomer);
  void RemoveCustomer(const std::string& aId);
  void ApplyTeams(const wire::ListsDelta& aDelta);
  void PutTeam(const wire::Team& aTeam);
  void RemoveTeam(const std::string& aName);
  std::string TeamsError(const wire::ListsDelta& aDelta) const;

  ListsVersion m_version;
  std::unordered_map<std::string, PlanEntry> m_plans;
  std::unordered_map<std::string, wire::Customer> m_customers;
  std::unordered_map<std::string, std::string> m_customerByTokenHash;
  std::map<std::string, wire::Route> m_openRoutes; // by name
  // Host to path prefix to route name.
  std::unordered_map<std::string, std::map<std::string, std::string>>
    m_openRoutesByHost;
  std::map<std::string, wire::Team> m_teams; // by name
  std::unordered_map<std::string, std::string> m_teamByKeyHash;
  std::map<std::string, wire::Service> m_services;
  wire::RequestLimits m_limits;
};

// Leaves only the hashes of the keys of teams. Only control hosts hold the
// keys themselves.
void
RemoveKeyTexts(wire::ListsDelta& aDelta);

} // namespace fuchsiaramp
