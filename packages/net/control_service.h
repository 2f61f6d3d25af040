// The adapter around one control node: storage, messages, the operators' HTTP
// interface, timers and logs.
//
//   ControlService service(io, settings, secretKey, error);
//   if (error) { ... }
//   service.Leave();   // on SIGTERM; io.run() returns when it is done
#pragma once

#include <memory>
#include <string>
#include <system_error>

#include <boost/asio/io_context.hpp>

#include "net/external_api.h"
#include "settings/settings.h"

namespace fuchsiaramp {

class ControlService
{
public:
  // Throws when an address cannot be bound; sets aError when the data folder
  // cannot be used.
  ControlService(boost::asio::io_context& aIo,
                 const Settings& aSettings,
                 const std::string& aSecretKey,
                 ControlApi aApi,
                 std::error_code& aError);
  ~ControlService();
  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  // Hands over leadership, then stops the io context.
  void Leave();
  // Takes over what may change while the process runs: the hosts to look for.
  void Reload(const Settings& aSettings);
  // Set when storage failed and the process must exit with an error.
  std::error_code FatalError() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace fuchsiaramp
