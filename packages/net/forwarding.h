// Converts a caller's request into the request to a backend server, and the
// server's response into the response to the caller.
#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "net/backend_client.h"
#include "net/http_server.h"

namespace fuchsiaramp {

// Whether the API in use forwards a header.
using HeaderFilter = std::function<bool(std::string_view aName)>;

// Copies the headers without hop-by-hop ones and those that aPasses rejects.
// aBody may be null, if the request has none.
BackendRequest
ForwardedRequest(const HttpExchange::Request& aMessage,
                 BufferedBodyPtr aBody,
                 const HeaderFilter& aPasses);

// The number of backend servers on which the receiver may run a forwarded
// request.
inline constexpr char kServersLeftHeader[] = "Fuchsiaramp-Servers-Left";
// Marks a request that another entry host forwards.
inline constexpr char kForwardedHeader[] = "Fuchsiaramp-Forwarded";
// The SHA-256 of the caller's key, in place of the key, on such a request.
inline constexpr char kKeyHashHeader[] = "Fuchsiaramp-Key-Hash";

// Copies the request for another entry host, which needs all headers of the
// caller but its credentials.
BackendRequest
PeerRequest(const HttpExchange::Request& aMessage,
            BufferedBodyPtr aBody,
            const AttemptStart& aStart,
            const std::function<void(BackendRequest&)>& aRemoveCredentials);

// The value of kServersLeftHeader; empty if it is missing or invalid.
std::optional<int>
ParseServersLeft(std::string_view aText);

// Sets a header to the remaining time in milliseconds, at least 1.
void
SetRemainingMs(BackendRequest& aRequest,
               std::string_view aHeader,
               Duration aRemaining);

// Moves the body out of aResponse; filters headers as ForwardedRequest does.
HttpResponse
RelayedResponse(BackendResponse& aResponse, const HeaderFilter& aPasses);

} // namespace fuchsiaramp
