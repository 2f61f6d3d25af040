#include "state/lists_document.h"

#include <set>
#include <unordered_set>

#include "base/digest.h"
#include "settings/yaml_reader.h"

namespace fuchsiaramp {
namespace internal {

static constexpr std::uint64_t kMaxRate = 10'000'000; // requests per second
static constexpr std::uint64_t kMaxPriority = 100;
static constexpr std::size_t kHashLength = 64;

static wire::Route
ReadRoute(const YAML::Node& aNode, Findings& aFindings)
{
  MapReader map(aNode, "a route", aFindings);
  wire::Route route;
  route.set_name(map.RequiredText("name"));
  route.set_service(map.RequiredText("service"));
  route.set_path_prefix(map.RequiredText("path_prefix"));
  if (!map.Has("repeatable")) {
    aFindings.Add(PlaceOf(aNode),
                  "a route needs 'repeatable': whether its requests may run "
                  "more than once");
  }
  route.set_repeatable(map.Flag("repeatable", false));
  route.set_requests_per_second(
    map.Number("requests_per_second", 0, 0, kMaxRate));
  map.Finish();
  if (!route.path_prefix().empty() && route.path_prefix()[0] != '/') {
    aFindings.Add(map.PlaceOfKey("path_prefix"),
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
    map.Number("requests_per_second", 0, 0, kMaxRate));
  plan.set_priority(map.Number("priority", 1, 0, kMaxPriority));
  std::set<std::string> names;
  for (const YAML::Node& item : map.Items("routes")) {
    const wire::Route route = ReadRoute(item, aFindings);
    if (!names.insert(route.name()).second) {
      aFindings.Add(PlaceOf(item),
                    "route '" + route.name() + "' stands twice in its plan");
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
  if (hash.size() != kHashLength || !hexadecimal) {
    aFindings.Add(map.PlaceOfKey("token_hash"),
                  "'token_hash' must be a SHA-256 in lower-case hexadecimal");
  }
  return customer;
}

} // namespace internal

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
      aFindings.Add(PlaceOf(item), "plan '" + plan.name() + "' stands twice");
    }
    *content.add_plans() = plan;
  }
  std::unordered_set<std::string> customers;
  std::unordered_set<std::string> tokens;
  for (const YAML::Node& item : map.Items("customers")) {
    const wire::Customer customer = internal::ReadCustomer(item, aFindings);
    const Place place = PlaceOf(item);
    if (!customers.insert(customer.id()).second) {
      aFindings.Add(place, "customer '" + customer.id() + "' stands twice");
    }
    if (!tokens.insert(customer.token_hash()).second) {
      aFindings.Add(place,
                    "customer '" + customer.id() +
                      "' has the token of another customer");
    }
    if (plans.count(customer.plan()) == 0) {
      aFindings.Add(place,
                    "customer '" + customer.id() +
                      "' holds the unknown plan '" + customer.plan() + "'");
    }
    *content.add_customers() = customer;
  }
  map.Finish();
  return content;
}

wire::ListsDelta
Difference(const Lists& aCurrent, const wire::ListsDelta& aContent)
{
  wire::ListsDelta delta;
  delta.set_from_version(aCurrent.Version().Value());
  delta.set_to_version(aCurrent.Version().Next().Value());
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
  const wire::ListsDelta current = aCurrent.Full();
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
  out << YAML::EndSeq << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

std::uint64_t
DigestOf(const wire::ListsDelta& aDelta)
{
  return Hash64(aDelta.SerializeAsString());
}

} // namespace fuchsiaramp
