#include "state/lists_check.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>
#include <tuple>
#include <utility>

#include <google/protobuf/descriptor.h>

#include "settings/yaml_reader.h"
#include "state/lists.h"
#include "state/lists_document.h"

namespace fuchsiaramp {

const char*
ToText(ListsFindingKind aKind)
{
  switch (aKind) {
    case ListsFindingKind::kInvalid:
      return "invalid";
    case ListsFindingKind::kNeverMatches:
      return "never-matches";
    case ListsFindingKind::kContradiction:
      break;
  }
  return "contradiction";
}

const char*
ToText(ListsChangeKind aKind)
{
  switch (aKind) {
    case ListsChangeKind::kNew:
      return "new";
    case ListsChangeKind::kChanged:
      return "changed";
    case ListsChangeKind::kRemoved:
      break;
  }
  return "removed";
}

namespace internal {

// Returns the positions of the items of a section of a valid document. The
// entries of the content have the same order.
static std::vector<SourcePosition>
PositionsOf(const YAML::Node& aMap, const std::string& aSection)
{
  Findings ignored("");
  std::vector<SourcePosition> positions;
  for (const YAML::Node& item :
       MapReader(aMap, "the lists", ignored).Items(aSection)) {
    positions.push_back(PositionOf(item));
  }
  return positions;
}

class Checker
{
public:
  Checker(const wire::ListsDelta& aContent,
          const YAML::Node& aDocument,
          const FleetSize& aFleet)
    : m_content(aContent)
    , m_document(aDocument)
    , m_fleet(aFleet)
  {
  }

  std::vector<ListsFinding> Run()
  {
    CheckPlans();
    CheckCustomers();
    CheckOpenRoutes();
    CheckServices();
    CheckTeams();
    return std::move(m_findings);
  }

private:
  void Add(ListsFindingKind aKind, SourcePosition aPosition, std::string aText)
  {
    m_findings.push_back({ aKind, aPosition, std::move(aText) });
  }

  // Hosts do not tell routes with the same service and path prefix apart: the
  // first one serves all requests.
  void CheckPlanRoutes(const wire::Plan& aPlan, const YAML::Node& aNode)
  {
    const std::vector<SourcePosition> positions = PositionsOf(aNode, "routes");
    std::map<std::pair<std::string, std::string>, std::string> first;
    for (int i = 0; i < aPlan.routes_size(); ++i) {
      const wire::Route& route = aPlan.routes(i);
      const SourcePosition position = positions[static_cast<std::size_t>(i)];
      const std::string name =
        "route '" + route.name() + "' of plan '" + aPlan.name() + "'";
      const auto [it, isNew] = first.try_emplace(
        { route.service(), route.path_prefix() }, route.name());
      if (!isNew) {
        Add(ListsFindingKind::kNeverMatches,
            position,
            name + ": route '" + it->second +
              "' has the same service and path prefix and comes first");
      }
      CheckPath(route, position, name);
      if (aPlan.requests_per_second() > 0 &&
          route.requests_per_second() > aPlan.requests_per_second()) {
        Add(ListsFindingKind::kContradiction,
            position,
            name + ": its limit of " +
              std::to_string(route.requests_per_second()) +
              " requests/s is above that of its plan, " +
              std::to_string(aPlan.requests_per_second()));
      }
    }
  }

  // Paths are matched without their query.
  void CheckPath(const wire::Route& aRoute,
                 SourcePosition aPosition,
                 const std::string& aName)
  {
    const auto isForbidden = [](char aChar) {
      const auto value = static_cast<unsigned char>(aChar);
      return value <= ' ' || value == 0x7f || aChar == '?';
    };
    if (std::ranges::any_of(aRoute.path_prefix(), isForbidden)) {
      Add(ListsFindingKind::kNeverMatches,
          aPosition,
          aName + ": no path of a request contains a space, a control "
                  "character or '?'");
    }
  }

  void CheckPlans()
  {
    std::set<std::string> used;
    for (const wire::Customer& customer : m_content.customers()) {
      used.insert(customer.plan());
    }
    Findings ignored("");
    const std::vector<YAML::Node> items =
      MapReader(m_document, "the lists", ignored).Items("plans");
    for (int i = 0; i < m_content.plans_size(); ++i) {
      const wire::Plan& plan = m_content.plans(i);
      const YAML::Node& node = items[static_cast<std::size_t>(i)];
      CheckPlanRoutes(plan, node);
      if (used.count(plan.name()) == 0) {
        Add(ListsFindingKind::kNeverMatches,
            PositionOf(node),
            "plan '" + plan.name() + "': no customer has it");
      }
    }
  }

  void CheckCustomers()
  {
    std::set<std::string> withoutRoutes;
    for (const wire::Plan& plan : m_content.plans()) {
      if (plan.routes().empty()) {
        withoutRoutes.insert(plan.name());
      }
    }
    const auto positions = PositionsOf(m_document, "customers");
    for (int i = 0; i < m_content.customers_size(); ++i) {
      const wire::Customer& customer = m_content.customers(i);
      if (withoutRoutes.count(customer.plan()) != 0) {
        Add(ListsFindingKind::kNeverMatches,
            positions[static_cast<std::size_t>(i)],
            "customer '" + customer.id() + "': its plan '" + customer.plan() +
              "' has no routes, so each of its requests is rejected");
      }
    }
  }

  void CheckOpenRoutes()
  {
    const auto positions = PositionsOf(m_document, "open_routes");
    for (int i = 0; i < m_content.open_routes_size(); ++i) {
      const wire::Route& route = m_content.open_routes(i);
      const SourcePosition position = positions[static_cast<std::size_t>(i)];
      const std::string name = "open route '" + route.name() + "'";
      CheckPath(route, position, name);
      if (route.host().find_first_of(": /\t") != std::string::npos) {
        Add(ListsFindingKind::kNeverMatches,
            position,
            name + ": the host is compared without its port, and holds no "
                   "space and no '/'");
      }
      if (route.latency_objective_us() > route.timeout_us()) {
        Add(ListsFindingKind::kContradiction,
            position,
            name + ": the timeout of " +
              std::to_string(route.timeout_us() / 1000) +
              " ms is below the latency objective of " +
              std::to_string(route.latency_objective_us() / 1000) + " ms");
      }
      CheckMaxServers(route, position, name);
    }
  }

  void CheckMaxServers(const wire::Route& aRoute,
                       SourcePosition aPosition,
                       const std::string& aName)
  {
    std::vector<std::string> services;
    if (!aRoute.service().empty()) {
      services.push_back(aRoute.service());
    }
    for (const wire::ServiceShare& share : aRoute.split()) {
      services.push_back(share.service());
    }
    const std::string prefix = aName + ": at most " +
                               std::to_string(aRoute.max_servers()) +
                               " servers for each request, but service '";
    for (const std::string& service : services) {
      const auto servers = m_fleet.servers.find(service);
      if (servers != m_fleet.servers.end() &&
          aRoute.max_servers() > servers->second) {
        Add(ListsFindingKind::kContradiction,
            aPosition,
            std::string(prefix).append(service).append("' has ") +
              std::to_string(servers->second));
      }
    }
  }

  void CheckServices()
  {
    std::set<std::string> used;
    const auto add = [&used](const wire::Route& aRoute) {
      used.insert(aRoute.service());
      for (const wire::ServiceShare& share : aRoute.split()) {
        used.insert(share.service());
      }
    };
    std::ranges::for_each(m_content.open_routes(), add);
    for (const wire::Plan& plan : m_content.plans()) {
      std::ranges::for_each(plan.routes(), add);
    }
    const auto positions = PositionsOf(m_document, "services");
    for (int i = 0; i < m_content.services_size(); ++i) {
      const std::string& name = m_content.services(i).name();
      if (used.count(name) == 0) {
        Add(ListsFindingKind::kNeverMatches,
            positions[static_cast<std::size_t>(i)],
            "service '" + name + "': no route leads to it");
      }
    }
  }

  void CheckTeams()
  {
    const auto positions = PositionsOf(m_document, "teams");
    if (positions.empty()) {
      return;
    }
    const bool allPublic = std::ranges::all_of(
      m_content.open_routes(),
      [](const wire::Route& aRoute) { return aRoute.is_public(); });
    if (allPublic) {
      Add(ListsFindingKind::kNeverMatches,
          positions.front(),
          "no open route needs a key, so no request belongs to a team");
    }
    double sum = 0.0;
    for (int i = 0; i < m_content.teams_size(); ++i) {
      const wire::Team& team = m_content.teams(i);
      const SourcePosition position = positions[static_cast<std::size_t>(i)];
      const std::string name = "team '" + team.name() + "'";
      const double rate = team.requests_per_second();
      sum += rate;
      if (team.keys().empty()) {
        Add(ListsFindingKind::kNeverMatches,
            position,
            name + ": it has no key, so no request can belong to it");
      }
      if (rate > 0.0 && rate < 1.0) {
        Add(ListsFindingKind::kContradiction,
            position,
            name + ": its limit is below 1 request/s");
      }
      if (rate > 0.0 && team.has_burst() && team.burst() < 1.0) {
        Add(ListsFindingKind::kContradiction,
            position,
            name + ": its burst is below 1 request");
      }
    }
    if (!m_fleet.slots || !m_fleet.serviceTime) {
      return;
    }
    const double capacity =
      static_cast<double>(*m_fleet.slots) / ToSeconds(*m_fleet.serviceTime);
    if (sum > capacity) {
      Add(ListsFindingKind::kContradiction,
          positions.front(),
          "the limits of all teams add up to " +
            std::to_string(std::lround(sum)) +
            " requests/s, above the capacity of " +
            std::to_string(std::lround(capacity)));
    }
  }

  const wire::ListsDelta& m_content;
  const YAML::Node& m_document;
  const FleetSize& m_fleet;
  std::vector<ListsFinding> m_findings;
};

} // namespace internal

ListsCheck
CheckLists(const std::string& aText, const FleetSize& aFleet)
{
  ListsCheck check;
  Findings errors("");
  check.content = ReadLists(aText, errors);
  check.content.set_to_version(1);
  for (const Finding& error : errors.All()) {
    check.findings.push_back(
      { ListsFindingKind::kInvalid, error.position, error.text });
  }
  if (errors.IsEmpty()) {
    const std::string error = Lists().ValidationError(check.content);
    if (!error.empty()) {
      check.findings.push_back(
        { ListsFindingKind::kInvalid, SourcePosition(), error });
    }
  }
  const auto document = ParseYaml(aText, errors);
  if (check.findings.empty() && document) {
    check.findings = internal::Checker(check.content, *document, aFleet).Run();
  }
  std::ranges::stable_sort(check.findings, {}, [](const ListsFinding& aItem) {
    return std::pair(aItem.position.line, aItem.position.column);
  });
  return check;
}

namespace internal {

// The names of the fields with different values. Values are left out: they
// include keys.
static std::vector<std::string>
DifferentFields(const google::protobuf::Message& aFrom,
                const google::protobuf::Message& aTo)
{
  std::vector<std::string> fields;
  const google::protobuf::Descriptor* type = aFrom.GetDescriptor();
  for (int i = 0; i < type->field_count(); ++i) {
    const google::protobuf::FieldDescriptor* field = type->field(i);
    // Copies with this field alone are equal if its values are.
    const auto only = [field](const google::protobuf::Message& aMessage) {
      std::unique_ptr<google::protobuf::Message> copy(aMessage.New());
      copy->CopyFrom(aMessage);
      std::vector<const google::protobuf::FieldDescriptor*> present;
      copy->GetReflection()->ListFields(*copy, &present);
      for (const auto* other : present) {
        if (other != field) {
          copy->GetReflection()->ClearField(copy.get(), other);
        }
      }
      return copy->SerializeAsString();
    };
    if (only(aFrom) != only(aTo)) {
      fields.push_back(field->name());
    }
  }
  return fields;
}

template<class Items, class NameOf>
static void
AddChanges(const std::string& aSection,
           const Items& aFrom,
           const Items& aTo,
           NameOf aNameOf,
           std::vector<ListsChange>& aChanges)
{
  using Item = typename Items::value_type;
  std::map<std::string, const Item*> from;
  for (const Item& item : aFrom) {
    from[aNameOf(item)] = &item;
  }
  std::set<std::string> remaining;
  for (const Item& item : aTo) {
    const std::string name = aNameOf(item);
    remaining.insert(name);
    const auto old = from.find(name);
    if (old == from.end()) {
      aChanges.push_back({ ListsChangeKind::kNew, aSection, name, {} });
    } else if (old->second->SerializeAsString() != item.SerializeAsString()) {
      aChanges.push_back({ ListsChangeKind::kChanged,
                           aSection,
                           name,
                           DifferentFields(*old->second, item) });
    }
  }
  for (const auto& [name, item] : from) {
    if (remaining.count(name) == 0) {
      aChanges.push_back({ ListsChangeKind::kRemoved, aSection, name, {} });
    }
  }
}

} // namespace internal

std::vector<ListsChange>
CompareLists(const wire::ListsDelta& aFrom, const wire::ListsDelta& aTo)
{
  std::vector<ListsChange> changes;
  const auto name = [](const auto& aItem) { return aItem.name(); };
  const auto id = [](const auto& aItem) { return aItem.id(); };
  internal::AddChanges("plans", aFrom.plans(), aTo.plans(), name, changes);
  internal::AddChanges(
    "customers", aFrom.customers(), aTo.customers(), id, changes);
  internal::AddChanges(
    "open_routes", aFrom.open_routes(), aTo.open_routes(), name, changes);
  internal::AddChanges(
    "services", aFrom.services(), aTo.services(), name, changes);
  internal::AddChanges("teams", aFrom.teams(), aTo.teams(), name, changes);
  const std::vector<std::string> limits =
    internal::DifferentFields(aFrom.limits(), aTo.limits());
  if (!limits.empty()) {
    changes.push_back(
      { ListsChangeKind::kChanged, "request_limits", "", limits });
  }
  return changes;
}

} // namespace fuchsiaramp
