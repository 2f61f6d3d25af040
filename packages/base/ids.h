// Strong types for identifiers: an identifier of one type cannot be passed
// where another type is expected.
//
//   HostId host("entry-1");
//   ServiceName service("profile");
//   std::unordered_map<HostId, int> loads;
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace fuchsiaramp {

// An identifier with a string value.
template<class Tag>
class NameId
{
public:
  NameId() = default;
  explicit NameId(std::string aValue)
    : m_value(std::move(aValue))
  {
  }

  const std::string& Value() const { return m_value; }
  bool IsEmpty() const { return m_value.empty(); }

  friend auto operator<=>(const NameId&, const NameId&) = default;
  friend std::ostream& operator<<(std::ostream& aOut, const NameId& aId)
  {
    return aOut << aId.m_value;
  }

private:
  std::string m_value;
};

// An identifier or counter with an unsigned 64-bit value.
template<class Tag>
class NumberId
{
public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(std::uint64_t aValue)
    : m_value(aValue)
  {
  }

  constexpr std::uint64_t Value() const { return m_value; }
  constexpr NumberId Next() const { return NumberId(m_value + 1); }

  friend constexpr auto operator<=>(const NumberId&, const NumberId&) = default;
  friend std::ostream& operator<<(std::ostream& aOut, const NumberId& aId)
  {
    return aOut << aId.m_value;
  }

private:
  std::uint64_t m_value = 0;
};

using HostId = NameId<struct HostTag>;
using FailureDomain = NameId<struct FailureDomainTag>;
using Region = NameId<struct RegionTag>;
using ServiceName = NameId<struct ServiceTag>;
using RouteName = NameId<struct RouteTag>;
using PlanName = NameId<struct PlanTag>;
using CustomerId = NameId<struct CustomerTag>;
using TeamName = NameId<struct TeamTag>;
using BackendServerId = NameId<struct BackendServerTag>;
using IdempotencyKey = NameId<struct IdempotencyKeyTag>;

using RequestId = NumberId<struct RequestTag>;
using AttemptId = NumberId<struct AttemptTag>;
using ProbeId = NumberId<struct ProbeTag>;
using ListsVersion = NumberId<struct ListsVersionTag>;
using Fingerprint = NumberId<struct FingerprintTag>;

} // namespace fuchsiaramp

template<class Tag>
struct std::hash<fuchsiaramp::NameId<Tag>>
{
  std::size_t operator()(const fuchsiaramp::NameId<Tag>& aId) const
  {
    return std::hash<std::string>()(aId.Value());
  }
};

template<class Tag>
struct std::hash<fuchsiaramp::NumberId<Tag>>
{
  std::size_t operator()(const fuchsiaramp::NumberId<Tag>& aId) const
  {
    return std::hash<std::uint64_t>()(aId.Value());
  }
};
