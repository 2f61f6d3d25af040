// Helpers for requests and responses, shared by the HTTP APIs of both roles.
//
//   exchange->Respond(ErrorResponse(404, "no such path"));
//   if (!IsOperator(message, settings)) { ... }
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "net/http_server.h"
#include "settings/settings.h"

namespace fuchsiaramp {

// Prefix of the paths that the system itself serves.
inline constexpr std::string_view kSystemPrefix = "/.well-known/fuchsiaramp/";

HttpResponse
JsonResponse(std::uint32_t aStatus, const boost::json::value& aBody);

// {"error": aText}
HttpResponse
ErrorResponse(std::uint32_t aStatus, const std::string& aText);

// The bearer token of a request; empty when there is none.
std::string
BearerToken(const HttpExchange::Request& aMessage);

// Whether the request may use the operators' paths: it has the operator token,
// or the settings define none.
bool
IsOperator(const HttpExchange::Request& aMessage, const Settings& aSettings);

// A target split at its first '?'.
struct TargetParts
{
  std::string path;
  std::string query;
};
TargetParts
SplitTarget(std::string_view aTarget);

// The value of a key in "a=1&b=2"; empty when missing.
std::string
QueryValue(const std::string& aQuery, const std::string& aKey);

} // namespace fuchsiaramp
