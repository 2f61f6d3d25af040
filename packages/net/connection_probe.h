// Tests whether a connection to an address can be established.
//
//   ProbeConnection(io, "10.0.0.1:80", timeout, [](bool aConnected) { ... });
#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/time.h"

namespace fuchsiaramp {

// Opens a connection and closes it at once. aOnEnd is called from aIo.
void
ProbeConnection(boost::asio::io_context& aIo,
                const std::string& aAddress,
                Duration aTimeout,
                std::function<void(bool aConnected)> aOnEnd);

} // namespace fuchsiaramp
