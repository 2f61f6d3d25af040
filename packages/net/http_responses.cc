#include "net/http_responses.h"

#include <algorithm>

#include "base/digest.h"

namespace fuchsiaramp {

namespace http = boost::beast::http;

HttpResponse
JsonResponse(std::uint32_t aStatus, const boost::json::value& aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.body = boost::json::serialize(aBody) + "\n";
  return response;
}

HttpResponse
ErrorResponse(std::uint32_t aStatus, const std::string& aText)
{
  return JsonResponse(aStatus, { { "error", aText } });
}

std::string
BearerToken(const HttpExchange::Request& aMessage)
{
  static constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = aMessage[http::field::authorization];
  return value.substr(0, kScheme.size()) == kScheme
           ? std::string(value.substr(kScheme.size()))
           : "";
}

bool
IsOperator(const HttpExchange::Request& aMessage, const Settings& aSettings)
{
  return aSettings.operatorTokenHash.empty() ||
         EqualConstantTime(Sha256Hex(BearerToken(aMessage)),
                           aSettings.operatorTokenHash);
}

TargetParts
SplitTarget(std::string_view aTarget)
{
  const std::size_t mark = aTarget.find('?');
  return { std::string(aTarget.substr(0, mark)),
           mark == std::string_view::npos
             ? ""
             : std::string(aTarget.substr(mark + 1)) };
}

std::string
QueryValue(const std::string& aQuery, const std::string& aKey)
{
  const std::string start = aKey + '=';
  std::size_t at = 0;
  while (at < aQuery.size()) {
    const std::size_t end = std::min(aQuery.find('&', at), aQuery.size());
    const std::string item = aQuery.substr(at, end - at);
    if (item.compare(0, start.size(), start) == 0) {
      return item.substr(start.size());
    }
    at = end + 1;
  }
  return "";
}

} // namespace fuchsiaramp
