// Turns a caller's request into the request to a backend server, and the
// server's answer into the caller's.
#pragma once

#include "net/backend_client.h"
#include "net/http_server.h"

namespace fuchsiaramp {

// Without headers of the connection, the caller's token, and headers that this
// system sets itself.
BackendRequest
ForwardedRequest(const HttpExchange::Request& aMessage);

// Takes the body out of the response.
HttpAnswer
RelayedAnswer(BackendResponse& aResponse);

} // namespace fuchsiaramp
