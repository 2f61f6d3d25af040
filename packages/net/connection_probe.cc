#include "net/connection_probe.h"

#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "net/address.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
namespace beast = boost::beast;

void
ProbeConnection(asio::io_context& aIo,
                const std::string& aAddress,
                Duration aTimeout,
                std::function<void(bool aConnected)> aOnEnd)
{
  beast::error_code error;
  const auto endpoint = ParseEndpoint(aAddress, error);
  if (error || !IsConnectable(endpoint)) {
    asio::post(aIo, [onEnd = std::move(aOnEnd)] { onEnd(false); });
    return;
  }
  const auto stream = std::make_shared<beast::tcp_stream>(aIo);
  stream->expires_after(aTimeout);
  stream->async_connect(endpoint,
                        [stream, onEnd = std::move(aOnEnd)](
                          const beast::error_code& aError) { onEnd(!aError); });
}

} // namespace fuchsiaramp
