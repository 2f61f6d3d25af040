// Turns a caller's request into the request to a backend server, and the
// server's answer into the caller's.
#pragma once

#include <functional>
#include <string_view>

#include "net/backend_client.h"
#include "net/http_server.h"

namespace fuchsiaramp {

// Whether a header of the interface in use is passed on.
using HeaderFilter = std::function<bool(std::string_view aName)>;

// Without headers of the connection, the caller's token, and headers that this
// system sets itself.
BackendRequest
ForwardedRequest(const HttpExchange::Request& aMessage,
                 const HeaderFilter& aPasses);

// Takes the body out of the response.
HttpResponse
RelayedResponse(BackendResponse& aResponse, const HeaderFilter& aPasses);

} // namespace fuchsiaramp
