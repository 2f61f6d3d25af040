// A rate of requests, and what a backend server's response says of the rate
// that the server takes from all hosts together.
//
//   if (const auto rate = ParseRequestRate("1.4")) {
//     notice = LimitNotice{ *rate };
//   }
#pragma once

#include <compare>
#include <optional>
#include <string_view>

namespace fuchsiaramp {

struct RequestRate
{
  double perSecond = 0.0;

  friend auto operator<=>(const RequestRate&, const RequestRate&) = default;
};

// Present only with a response of the server itself. Without a rate, the
// response names no limit.
struct LimitNotice
{
  std::optional<RequestRate> rate;
};

// Parses a decimal number of requests per second, at most 1e9. Returns nothing
// unless it is finite and not negative.
std::optional<RequestRate>
ParseRequestRate(std::string_view aText);

// The notice in a header: none if the header is invalid, so that it changes
// nothing. aPresent: whether the response has the header.
std::optional<LimitNotice>
ParseLimitNotice(bool aPresent, std::string_view aText);

} // namespace fuchsiaramp
