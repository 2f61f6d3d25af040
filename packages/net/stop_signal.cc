#include "net/stop_signal.h"

#include <atomic>
#include <cerrno>
#include <csignal>
#include <utility>

#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect_pipe.hpp>

#include "net/monotonic.h"

namespace fuchsiaramp {

static constexpr int kSignals[] = { SIGTERM, SIGINT };
static constexpr std::int64_t kNone = -1;

static std::atomic<std::int64_t> sArrivedAtUs{ kNone };
static std::atomic<int> sDescriptor{ -1 };
static_assert(std::atomic<std::int64_t>::is_always_lock_free);

// Runs as a signal handler: only async-signal-safe calls.
static void
OnSignal(int /*aSignal*/)
{
  const int error = errno;
  std::int64_t none = kNone;
  if (sArrivedAtUs.compare_exchange_strong(none, ToMicros(MonotonicNow()))) {
    const char byte = 0;
    // A pipe that has just been made has room for one byte.
    [[maybe_unused]] const ssize_t written = ::write(sDescriptor, &byte, 1);
  }
  errno = error;
}

static void
SetHandler(void (*aHandler)(int))
{
  struct sigaction action = {};
  action.sa_handler = aHandler;
  action.sa_flags = SA_RESTART;
  for (const int signal : kSignals) {
    ::sigaction(signal, &action, nullptr);
  }
}

StopSignal::StopSignal(boost::asio::io_context& aIo, StopHook aOnStop)
  : m_wakeUp(aIo)
  , m_signalled(aIo)
  , m_onStop(std::move(aOnStop))
{
  boost::asio::connect_pipe(m_wakeUp, m_signalled);
  sArrivedAtUs = kNone;
  sDescriptor = m_signalled.native_handle();
  SetHandler(OnSignal);
  m_wakeUp.async_read_some(
    boost::asio::buffer(&m_byte, 1),
    [this](const boost::system::error_code& aError, std::size_t) {
      if (!aError) {
        m_onStop(FromMicros(sArrivedAtUs));
      }
    });
}

StopSignal::~StopSignal()
{
  SetHandler(SIG_DFL);
}

} // namespace fuchsiaramp
