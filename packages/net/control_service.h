// Connects one control node to its environment: storage, messages, the HTTP
// interface of operators and backend servers, timers and logs.
//
//   ControlService service(io, settings, secretKey, api, error);
//   if (error) { ... }
//   service.Leave();   // on SIGTERM; io.run() returns when it is done
#pragma once

#include <memory>
#include <string>
#include <system_error>

#include <boost/asio/io_context.hpp>

#include "base/time.h"
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

  // Answers what is in hand and transfers leadership, then stops the io
  // context. The grace period counts from aRequestedAt.
  void Leave(TimePoint aRequestedAt);
  // Applies the settings that may change at run time: the control hosts.
  void Reload(const Settings& aSettings);
  // The storage error after which the process must exit; empty while there is
  // none.
  std::error_code FatalError() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace fuchsiaramp
