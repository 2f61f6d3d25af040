// Waits for SIGTERM or SIGINT and tells when the signal arrived, which is
// earlier than the event loop learns of it while it is busy.
//
//   StopSignal stop(io, [&](TimePoint aArrivedAt) { service.Leave(aArrivedAt);
//   });
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/readable_pipe.hpp>
#include <boost/asio/writable_pipe.hpp>

#include "base/time.h"

namespace fuchsiaramp {

// At most one exists at a time.
class StopSignal
{
public:
  using StopHook = std::function<void(TimePoint aArrivedAt)>;

  // aOnStop is called once, from the event loop.
  StopSignal(boost::asio::io_context& aIo, StopHook aOnStop);
  ~StopSignal();
  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;

private:
  boost::asio::readable_pipe m_wakeUp;
  boost::asio::writable_pipe m_signalled;
  StopHook m_onStop;
  char m_byte = 0;
};

} // namespace fuchsiaramp
