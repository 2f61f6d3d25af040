#include "state/lists_document.h"

#include <set>
#include <unordered_map>
#include <unordered_set>

#include "base/digest.h"
#include "base/text.h"
#include "settings/yaml_reader.h"
#include "state/route_check.h"

namespace fuchsiaramp {
namespace internal {

static constexpr std::uint64_t kMaxRequestsPerSecond = 10'000'000;
static constexpr std::uint64_t kMaxPriority = 100;
static constexpr std::size_t kTokenHashLength = 64;
static constexpr std::uint64_t kMaxServers = 100; // per request
static constexpr std::uint64_t kMaxSizeLimitBytes = 1ULL << 30;
// A latency objective this far above the timeout is considered a mistake.
static constexpr std::int64_t kMaxObjectiveAboveTimeoutUs = 60'000'000;
// A team's name and its keys are values of headers, whose size is limited.
static constexpr std::size_t kMaxTeamNameBytes = 200;
static constexpr std::size_t kMaxTeamKeyBytes = 1024;

static wire::Route
ReadRoute(const YAML::Node& aNode, Findings& aFindings)
{
  MapReader map(aNode, "a route", aFindings);
  wire::Route route;
  route.set_name(map.RequiredText("name"));
  route.set_service(map.RequiredText("service"));
  route.set_path_prefix(map.RequiredText("path_prefix"));
  if (!map.Has("repeatable")) {
    aFindings.Add(PositionOf(aNode),
                  "a route needs 'repeatable': whether its requests may run "
                  "more than once");
  }
  route.set_repeatable(map.Flag("repeatable", false));
  route.set_requests_per_second(
    map.Number("requests_per_second", 0, 0, kMaxRequestsPerSecond));
  map.Finish();
  if (!route.path_prefix().empty() && route.path_prefix()[0] != '/') {
    aFindings.Add(map.PositionOfKey("path_prefix"),
                  "'path_prefix' must start with '/'");
  }
  return route;
}

static wire::Plan
ReadPlan(const YAML::Node& aNode, Findings& aFindings)
{
  MapReader map(aNode, "a plan", aFindings);
  wire::Plan plan;
  plan.set_name(map.RequiredText("name"));
  plan.set_requests_per_second(
    map.Number("requests_per_second", 0, 0, kMaxRequestsPerSecond));
  plan.set_priority(map.Number("priority", 1, 0, kMaxPriority));
  std::set<std::string> names;
  for (const YAML::Node& item : map.Items("routes")) {
    const wire::Route route = ReadRoute(item, aFindings);
    if (!names.insert(route.name()).second) {
      aFindings.Add(PositionOf(item),
                    "route '" + route.name() +
                      "' is defined twice in its plan");
    }
    *plan.add_routes() = route;
  }
  map.Finish();
  return plan;
}

static wire::Customer
ReadCustomer(const YAML::Node& aNode, Findings& aFindings)
{
  MapReader map(aNode, "a customer", aFindings);
  wire::Customer customer;
  customer.set_id(map.RequiredText("id"));
  customer.set_plan(map.RequiredText("plan"));
  customer.set_token_hash(map.RequiredText("token_hash"));
  map.Finish();
  const std::string& hash = customer.token_hash();
  const bool hexadecimal =
    hash.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (hash.size() != kTokenHashLength || !hexadecimal) {
    aFindings.Add(map.PositionOfKey("token_hash"),
                  "'token_hash' must be a SHA-256 in lower-case hexadecimal");
  }
  return customer;
}

static void
ReadRepeat(MapReader& aMap, wire::Route& aRoute, Findings& aFindings)
{
  const std::string repeat = aMap.RequiredText("repeat");
  aRoute.set_repeatable(repeat == "always");
  aRoute.set_once_per_attempt(repeat == "never");
  if (repeat != "always" && repeat != "never" && !repeat.empty()) {
    aFindings.Add(aMap.PositionOfKey("repeat"),
                  "'repeat' must be 'always' or 'never': whether a request "
                  "that the caller sends once may run more than once");
  }
}

static wire::Route
ReadOpenRoute(const YAML::Node& aNode, Findings& aFindings)
{
  MapReader map(aNode, "an open route", aFindings);
  wire::Route route;
  route.set_name(map.RequiredText("name"));
  route.set_host(map.RequiredText("host"));
  route.set_path_prefix(map.RequiredText("path_prefix"));
  ReadRepeat(map, route, aFindings);
  route.set_service(map.Text("service", ""));
  route.set_timeout_us(map.Span("timeout", std::chrono::seconds(10)).count());
  route.set_latency_objective_us(
    map.Span("latency_objective", std::chrono::seconds(1)).count());
  route.set_max_servers(
    static_cast<std::uint32_t>(map.Number("max_servers", 1, 0, kMaxServers)));
  route.set_priority(
    static_cast<std::uint32_t>(map.Number("priority", 1, 0, kMaxPriority)));
  for (const YAML::Node& item : map.Items("split")) {
    MapReader share(item, "a share of a split", aFindings);
    wire::ServiceShare* out = route.add_split();
    out->set_service(share.RequiredText("service"));
    out->set_weight(share.Real("weight", 1.0, 0.0, 1e9));
    share.Finish();
  }
  if (map.Has("public")) {
    route.set_is_public(map.Flag("public", false));
  }
  map.Finish();
  return route;
}

static wire::Team
ReadTeam(const YAML::Node& aNode, Findings& aFindings)
{
  MapReader map(aNode, "a team", aFindings);
  wire::Team team;
  team.set_name(map.RequiredText("name"));
  for (const std::string& text : map.Texts("keys")) {
    wire::TeamKey* key = team.add_keys();
    key->set_text(text);
    key->set_hash(Sha256Hex(text));
  }
  if (map.Has("priority")) {
    team.set_priority(
      static_cast<std::uint32_t>(map.Number("priority", 0, 0, kMaxPriority)));
  }
  if (map.Has("requests_per_second")) {
    team.set_requests_per_second(
      map.Real("requests_per_second",
               0.0,
               0.0,
               static_cast<double>(kMaxRequestsPerSecond)));
  }
  if (map.Has("burst")) {
    team.set_burst(
      map.Real("burst", 0.0, 0.0, static_cast<double>(kMaxRequestsPerSecond)));
  }
  map.Finish();
  return team;
}

static wire::Service
ReadService(const YAML::Node& aNode, Findings& aFindings)
{
  MapReader map(aNode, "a service", aFindings);
  wire::Service service;
  service.set_name(map.RequiredText("name"));
  service.set_health_path(map.Text("health_path", ""));
  service.set_max_connections(static_cast<std::uint32_t>(
    map.Number("max_connections", 400, 1, 1'000'000)));
  service.set_protocol(map.Text("protocol", ""));
  service.set_tls(map.Flag("tls", false));
  map.Finish();
  return service;
}

static wire::RequestLimits
ReadRequestLimits(const YAML::Node& aNode, Findings& aFindings)
{
  MapReader map(aNode, "'request_limits'", aFindings);
  wire::RequestLimits limits;
  limits.set_header_bytes(map.Number("header_bytes", 0, 0, kMaxSizeLimitBytes));
  limits.set_body_bytes(map.Number("body_bytes", 0, 0, kMaxSizeLimitBytes));
  limits.set_header_timeout_us(map.Span("header_timeout", Duration()).count());
  limits.set_idle_timeout_us(map.Span("idle_timeout", Duration()).count());
  map.Finish();
  return limits;
}

static void
ReadRoutingSections(MapReader& aMap,
                    wire::ListsDelta& aContent,
                    Findings& aFindings)
{
  std::vector<SourcePosition> positions;
  for (const YAML::Node& item : aMap.Items("open_routes")) {
    *aContent.add_open_routes() = ReadOpenRoute(item, aFindings);
    positions.push_back(PositionOf(item));
  }
  for (const YAML::Node& item : aMap.Items("services")) {
    *aContent.add_services() = ReadService(item, aFindings);
  }
  const YAML::Node limits = aMap.Map("request_limits");
  if (limits.IsDefined()) {
    *aContent.mutable_limits() = ReadRequestLimits(limits, aFindings);
  }
  const auto positionOf = [&](int aIndex) {
    return positions[static_cast<std::size_t>(aIndex)];
  };
  CheckOpenRoutes(aContent, positionOf, aFindings);
  std::vector<SourcePosition> teamPositions;
  for (const YAML::Node& item : aMap.Items("teams")) {
    *aContent.add_teams() = ReadTeam(item, aFindings);
    teamPositions.push_back(PositionOf(item));
  }
  CheckTeams(
    aContent,
    [&](int aIndex) { return teamPositions[static_cast<std::size_t>(aIndex)]; },
    aFindings);
}

// Whether the text arrives unchanged as the value of a header.
static bool
IsHeaderValue(const std::string& aText, std::size_t aMaxBytes)
{
  return !aText.empty() && aText.size() <= aMaxBytes && IsPrintable(aText) &&
         aText.front() != ' ' && aText.back() != ' ';
}

// The findings never contain a key: they are sent to the operator and may be
// logged there.
static void
CheckTeam(const wire::Team& aTeam,
          const std::function<void(const std::string&)>& aAdd)
{
  if (!IsHeaderValue(aTeam.name(), kMaxTeamNameBytes)) {
    aAdd("the name must be printable text of 1 to 200 bytes that neither "
         "begins nor ends with a space");
  }
  for (const wire::TeamKey& key : aTeam.keys()) {
    if (!IsHeaderValue(key.text(), kMaxTeamKeyBytes)) {
      aAdd("a key must be printable text of 1 to 1024 bytes that neither "
           "begins nor ends with a space");
    }
  }
  const auto isRate = [](double aRate) {
    return aRate >= 0.0 && aRate <= static_cast<double>(kMaxRequestsPerSecond);
  };
  if (!isRate(aTeam.requests_per_second()) || !isRate(aTeam.burst())) {
    aAdd("the requests per second and the burst must be from 0 to 1e7");
  }
}

static void
CheckOpenRoute(const wire::Route& aRoute,
               const std::set<std::string>& aServices,
               const std::function<void(const std::string&)>& aAdd)
{
  const std::string& prefix = aRoute.path_prefix();
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    aAdd("a path prefix must begin and end with '/'");
  }
  if (aRoute.host().empty()) {
    aAdd("an open route needs a host");
  }
  const std::string problem = FindProblem(aRoute);
  if (!problem.empty()) {
    aAdd(problem);
  } else if (aRoute.latency_objective_us() >=
             aRoute.timeout_us() + kMaxObjectiveAboveTimeoutUs) {
    aAdd("the latency objective is a minute or more above the timeout");
  }
  if (aRoute.max_servers() == 0) {
    aAdd("the maximum number of servers per request must be at least 1");
  }
  const bool single = aRoute.split().empty();
  if (single == aRoute.service().empty()) {
    aAdd("an open route needs either a service or a split");
  }
  for (const wire::ServiceShare& share : aRoute.split()) {
    if (aServices.count(share.service()) == 0) {
      aAdd("unknown service '" + share.service() + "'");
    }
  }
  if (!aRoute.service().empty() && aServices.count(aRoute.service()) == 0) {
    aAdd("unknown service '" + aRoute.service() + "'");
  }
}

} // namespace internal

void
CheckOpenRoutes(const wire::ListsDelta& aContent,
                const std::function<SourcePosition(int)>& aPositionOf,
                Findings& aFindings)
{
  std::set<std::string> services;
  for (const wire::Service& service : aContent.services()) {
    if (service.name().empty() || !services.insert(service.name()).second) {
      aFindings.Add(SourcePosition(),
                    "service '" + service.name() +
                      "' has no name or is defined twice");
    }
  }
  std::set<std::string> names;
  std::set<std::pair<std::string, std::string>> prefixes;
  for (int i = 0; i < aContent.open_routes_size(); ++i) {
    const wire::Route& route = aContent.open_routes(i);
    const auto add = [&](const std::string& aText) {
      aFindings.Add(aPositionOf(i),
                    "open route '" + route.name() + "': " + aText);
    };
    if (route.name().empty() || !names.insert(route.name()).second) {
      add("the name is empty or defined twice");
    }
    if (!prefixes.insert({ route.host(), route.path_prefix() }).second) {
      add("another open route has the same host and path prefix");
    }
    internal::CheckOpenRoute(route, services, add);
  }
}

void
CheckTeams(const wire::ListsDelta& aContent,
           const std::function<SourcePosition(int)>& aPositionOf,
           Findings& aFindings)
{
  std::unordered_set<std::string> names;
  std::unordered_map<std::string, std::string> holders; // by key hash
  for (int i = 0; i < aContent.teams_size(); ++i) {
    const wire::Team& team = aContent.teams(i);
    const auto add = [&](const std::string& aText) {
      aFindings.Add(aPositionOf(i), "team '" + team.name() + "': " + aText);
    };
    if (!names.insert(team.name()).second) {
      add("the name is defined twice");
    }
    internal::CheckTeam(team, add);
    for (const wire::TeamKey& key : team.keys()) {
      const std::string& holder =
        holders.try_emplace(key.hash(), team.name()).first->second;
      if (holder != team.name()) {
        add("team '" + holder + "' has the same key");
      }
    }
  }
}

wire::ListsDelta
ReadLists(const std::string& aText, Findings& aFindings)
{
  wire::ListsDelta content;
  content.set_full(true);
  const auto root = ParseYaml(aText, aFindings);
  if (!root) {
    return content;
  }
  MapReader map(*root, "the lists", aFindings);
  std::unordered_set<std::string> plans;
  for (const YAML::Node& item : map.Items("plans")) {
    const wire::Plan plan = internal::ReadPlan(item, aFindings);
    if (!plans.insert(plan.name()).second) {
      aFindings.Add(PositionOf(item),
                    "plan '" + plan.name() + "' is defined twice");
    }
    *content.add_plans() = plan;
  }
  std::unordered_set<std::string> customers;
  std::unordered_set<std::string> tokens;
  for (const YAML::Node& item : map.Items("customers")) {
    const wire::Customer customer = internal::ReadCustomer(item, aFindings);
    const SourcePosition position = PositionOf(item);
    if (!customers.insert(customer.id()).second) {
      aFindings.Add(position,
                    "customer '" + customer.id() + "' is defined twice");
    }
    if (!tokens.insert(customer.token_hash()).second) {
      aFindings.Add(position,
                    "customer '" + customer.id() +
                      "' has the same token as another customer");
    }
    if (plans.count(customer.plan()) == 0) {
      aFindings.Add(position,
                    "customer '" + customer.id() +
                      "' refers to unknown plan '" + customer.plan() + "'");
    }
    *content.add_customers() = customer;
  }
  internal::ReadRoutingSections(map, content, aFindings);
  map.Finish();
  return content;
}

static void
AddRoutingDifference(const Lists& aCurrent,
                     const wire::ListsDelta& aCurrentContent,
                     const wire::ListsDelta& aContent,
                     wire::ListsDelta& aDelta)
{
  std::unordered_set<std::string> routes;
  for (const wire::Route& route : aContent.open_routes()) {
    routes.insert(route.name());
    const wire::Route* old = aCurrent.FindOpenRouteByName(route.name());
    if (old == nullptr ||
        old->SerializeAsString() != route.SerializeAsString()) {
      *aDelta.add_open_routes() = route;
    }
  }
  for (const wire::Route& route : aCurrentContent.open_routes()) {
    if (routes.count(route.name()) == 0) {
      aDelta.add_removed_open_routes(route.name());
    }
  }
  std::unordered_set<std::string> services;
  for (const wire::Service& service : aContent.services()) {
    services.insert(service.name());
    const wire::Service* old =
      aCurrent.FindService(ServiceName(service.name()));
    if (old == nullptr ||
        old->SerializeAsString() != service.SerializeAsString()) {
      *aDelta.add_services() = service;
    }
  }
  for (const wire::Service& service : aCurrentContent.services()) {
    if (services.count(service.name()) == 0) {
      aDelta.add_removed_services(service.name());
    }
  }
  std::unordered_set<std::string> teams;
  for (const wire::Team& team : aContent.teams()) {
    teams.insert(team.name());
    const wire::Team* old = aCurrent.FindTeam(TeamName(team.name()));
    if (old == nullptr ||
        old->SerializeAsString() != team.SerializeAsString()) {
      *aDelta.add_teams() = team;
    }
  }
  for (const wire::Team& team : aCurrentContent.teams()) {
    if (teams.count(team.name()) == 0) {
      aDelta.add_removed_teams(team.name());
    }
  }
  if (aContent.limits().SerializeAsString() !=
      aCurrent.Limits().SerializeAsString()) {
    *aDelta.mutable_limits() = aContent.limits();
  }
}

wire::ListsDelta
Difference(const Lists& aCurrent,
           const wire::ListsDelta& aContent,
           ListsVersion aVersion)
{
  wire::ListsDelta delta;
  delta.set_from_version(aCurrent.Version().Value());
  delta.set_to_version(aVersion.Value());
  std::unordered_set<std::string> plans;
  for (const wire::Plan& plan : aContent.plans()) {
    plans.insert(plan.name());
    const wire::Plan* old = aCurrent.FindPlan(PlanName(plan.name()));
    if (old == nullptr ||
        old->SerializeAsString() != plan.SerializeAsString()) {
      *delta.add_plans() = plan;
    }
  }
  std::unordered_set<std::string> customers;
  for (const wire::Customer& customer : aContent.customers()) {
    customers.insert(customer.id());
    const wire::Customer* old =
      aCurrent.FindCustomer(CustomerId(customer.id()));
    if (old == nullptr ||
        old->SerializeAsString() != customer.SerializeAsString()) {
      *delta.add_customers() = customer;
    }
  }
  const wire::ListsDelta current = aCurrent.ToFullDelta();
  AddRoutingDifference(aCurrent, current, aContent, delta);
  for (const wire::Plan& plan : current.plans()) {
    if (plans.count(plan.name()) == 0) {
      delta.add_removed_plans(plan.name());
    }
  }
  for (const wire::Customer& customer : current.customers()) {
    if (customers.count(customer.id()) == 0) {
      delta.add_removed_customers(customer.id());
    }
  }
  return delta;
}

wire::ListsDelta
Difference(const Lists& aCurrent, const wire::ListsDelta& aContent)
{
  return Difference(aCurrent, aContent, aCurrent.Version().Next());
}

static void
WriteOpenRoute(YAML::Emitter& aOut, const wire::Route& aRoute)
{
  const auto span = [](std::int64_t aMicros) {
    return std::to_string(aMicros) + "us";
  };
  aOut << YAML::Flow << YAML::BeginMap << YAML::Key << "name" << YAML::Value
       << aRoute.name() << YAML::Key << "host" << YAML::Value << aRoute.host()
       << YAML::Key << "path_prefix" << YAML::Value << aRoute.path_prefix()
       << YAML::Key << "repeat" << YAML::Value
       << (aRoute.repeatable() ? "always" : "never") << YAML::Key << "timeout"
       << YAML::Value << span(aRoute.timeout_us()) << YAML::Key
       << "latency_objective" << YAML::Value
       << span(aRoute.latency_objective_us()) << YAML::Key << "max_servers"
       << YAML::Value << aRoute.max_servers() << YAML::Key << "priority"
       << YAML::Value << aRoute.priority();
  if (!aRoute.service().empty()) {
    aOut << YAML::Key << "service" << YAML::Value << aRoute.service();
  }
  if (!aRoute.split().empty()) {
    aOut << YAML::Key << "split" << YAML::Value << YAML::BeginSeq;
    for (const wire::ServiceShare& share : aRoute.split()) {
      aOut << YAML::BeginMap << YAML::Key << "service" << YAML::Value
           << share.service() << YAML::Key << "weight" << YAML::Value
           << share.weight() << YAML::EndMap;
    }
    aOut << YAML::EndSeq;
  }
  if (aRoute.has_is_public()) {
    aOut << YAML::Key << "public" << YAML::Value << aRoute.is_public();
  }
  aOut << YAML::EndMap;
}

static void
WriteTeam(YAML::Emitter& aOut, const wire::Team& aTeam)
{
  aOut << YAML::Flow << YAML::BeginMap << YAML::Key << "name" << YAML::Value
       << aTeam.name() << YAML::Key << "keys" << YAML::Value << YAML::BeginSeq;
  for (const wire::TeamKey& key : aTeam.keys()) {
    aOut << YAML::DoubleQuoted << key.text();
  }
  aOut << YAML::EndSeq;
  if (aTeam.has_priority()) {
    aOut << YAML::Key << "priority" << YAML::Value << aTeam.priority();
  }
  if (aTeam.has_requests_per_second()) {
    aOut << YAML::Key << "requests_per_second" << YAML::Value
         << aTeam.requests_per_second();
  }
  if (aTeam.has_burst()) {
    aOut << YAML::Key << "burst" << YAML::Value << aTeam.burst();
  }
  aOut << YAML::EndMap;
}

static void
WriteRoutingSections(YAML::Emitter& aOut, const wire::ListsDelta& aContent)
{
  if (!aContent.open_routes().empty()) {
    aOut << YAML::Key << "open_routes" << YAML::Value << YAML::BeginSeq;
    for (const wire::Route& route : aContent.open_routes()) {
      WriteOpenRoute(aOut, route);
    }
    aOut << YAML::EndSeq;
  }
  if (!aContent.services().empty()) {
    aOut << YAML::Key << "services" << YAML::Value << YAML::BeginSeq;
    for (const wire::Service& service : aContent.services()) {
      aOut << YAML::Flow << YAML::BeginMap << YAML::Key << "name" << YAML::Value
           << service.name() << YAML::Key << "health_path" << YAML::Value
           << service.health_path() << YAML::Key << "max_connections"
           << YAML::Value << service.max_connections() << YAML::Key
           << "protocol" << YAML::Value << service.protocol() << YAML::Key
           << "tls" << YAML::Value << service.tls() << YAML::EndMap;
    }
    aOut << YAML::EndSeq;
  }
  if (!aContent.teams().empty()) {
    aOut << YAML::Key << "teams" << YAML::Value << YAML::BeginSeq;
    for (const wire::Team& team : aContent.teams()) {
      WriteTeam(aOut, team);
    }
    aOut << YAML::EndSeq;
  }
  const wire::RequestLimits& limits = aContent.limits();
  if (limits.ByteSizeLong() > 0) {
    aOut << YAML::Key << "request_limits" << YAML::Value << YAML::Flow
         << YAML::BeginMap << YAML::Key << "header_bytes" << YAML::Value
         << limits.header_bytes() << YAML::Key << "body_bytes" << YAML::Value
         << limits.body_bytes();
    if (limits.header_timeout_us() > 0) {
      aOut << YAML::Key << "header_timeout" << YAML::Value
           << std::to_string(limits.header_timeout_us()) + "us";
    }
    if (limits.idle_timeout_us() > 0) {
      aOut << YAML::Key << "idle_timeout" << YAML::Value
           << std::to_string(limits.idle_timeout_us()) + "us";
    }
    aOut << YAML::EndMap;
  }
}

std::string
WriteLists(const wire::ListsDelta& aContent)
{
  YAML::Emitter out;
  out << YAML::BeginMap << YAML::Key << "plans" << YAML::Value
      << YAML::BeginSeq;
  for (const wire::Plan& plan : aContent.plans()) {
    out << YAML::BeginMap << YAML::Key << "name" << YAML::Value << plan.name()
        << YAML::Key << "priority" << YAML::Value << plan.priority()
        << YAML::Key << "requests_per_second" << YAML::Value
        << plan.requests_per_second() << YAML::Key << "routes" << YAML::Value
        << YAML::BeginSeq;
    for (const wire::Route& route : plan.routes()) {
      out << YAML::Flow << YAML::BeginMap << YAML::Key << "name" << YAML::Value
          << route.name() << YAML::Key << "service" << YAML::Value
          << route.service() << YAML::Key << "path_prefix" << YAML::Value
          << route.path_prefix() << YAML::Key << "repeatable" << YAML::Value
          << route.repeatable() << YAML::Key << "requests_per_second"
          << YAML::Value << route.requests_per_second() << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::Key << "customers" << YAML::Value
      << YAML::BeginSeq;
  for (const wire::Customer& customer : aContent.customers()) {
    out << YAML::Flow << YAML::BeginMap << YAML::Key << "id" << YAML::Value
        << customer.id() << YAML::Key << "plan" << YAML::Value
        << customer.plan() << YAML::Key << "token_hash" << YAML::Value
        << customer.token_hash() << YAML::EndMap;
  }
  out << YAML::EndSeq;
  WriteRoutingSections(out, aContent);
  out << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

std::uint64_t
DigestOf(const wire::ListsDelta& aDelta)
{
  return Hash64(aDelta.SerializeAsString());
}

} // namespace fuchsiaramp
