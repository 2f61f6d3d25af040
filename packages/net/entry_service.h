// Connects one entry node to its environment: HTTP with callers and backend
// servers, messages with other hosts, timers and logs.
//
//   EntryService service(io, settings, secretKey, NativeApi(settings).entry);
//   service.Leave();   // on SIGTERM; io.run() returns when it is done
#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/time.h"
#include "net/external_api.h"
#include "settings/settings.h"

namespace fuchsiaramp {

class EntryService
{
public:
  // Throws when an address cannot be bound.
  EntryService(boost::asio::io_context& aIo,
               const Settings& aSettings,
               const std::string& aSecretKey,
               EntryApi aApi);
  ~EntryService();
  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;

  // Withdraws the host, finishes requests in flight, then stops the io context.
  // The grace period counts from aRequestedAt.
  void Leave(TimePoint aRequestedAt);
  // Applies the settings that may change at run time: control hosts and seeds.
  void Reload(const Settings& aSettings);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace fuchsiaramp
