// Forwards TCP connections and injects network faults between two processes.
//
// The mode file holds one of: "pass", "delay MS", "silence" (bytes are kept and
// new connections get none), "one-way" (bytes of the connecting side are
// dropped), "reset" (connections are reset and new ones, too). It is read 20
// times a second. Without the file, bytes pass.
#include <array>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <tclap/CmdLine.h>

#include "net/address.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
using asio::ip::tcp;

struct Mode
{
  std::string name = "pass";
  std::chrono::milliseconds delay{ 0 };
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(asio::io_context& aIo, tcp::socket aCaller, const Mode& aMode)
    : m_mode(aMode)
    , m_caller(std::move(aCaller))
    , m_server(aIo)
    , m_callerTimer(aIo)
    , m_serverTimer(aIo)
  {
  }

  void Start(const tcp::endpoint& aServer)
  {
    m_server.async_connect(
      aServer,
      [self = shared_from_this()](const boost::system::error_code& aError) {
        if (aError) {
          self->Close(true);
          return;
        }
        self->Read(self->m_caller,
                   self->m_server,
                   self->m_toServer,
                   self->m_callerTimer);
        self->Read(self->m_server,
                   self->m_caller,
                   self->m_toCaller,
                   self->m_serverTimer);
      });
  }

  void Close(bool aReset)
  {
    boost::system::error_code ignored;
    if (aReset) {
      m_caller.set_option(asio::socket_base::linger(true, 0), ignored);
      m_server.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_caller.close(ignored);
    m_server.close(ignored);
    m_callerTimer.cancel();
    m_serverTimer.cancel();
  }

private:
  using Buffer = std::array<char, 16384>;

  void Read(tcp::socket& aFrom,
            tcp::socket& aTo,
            Buffer& aBuffer,
            asio::steady_timer& aTimer)
  {
    aFrom.async_read_some(
      asio::buffer(aBuffer),
      [self = shared_from_this(), &aFrom, &aTo, &aBuffer, &aTimer](
        const boost::system::error_code& aError, std::size_t aBytes) {
        if (aError) {
          self->Close(aError == asio::error::connection_reset);
          return;
        }
        self->Pass(aFrom, aTo, aBuffer, aBytes, aTimer);
      });
  }

  // Waits while the mode holds the bytes back.
  void Pass(tcp::socket& aFrom,
            tcp::socket& aTo,
            Buffer& aBuffer,
            std::size_t aBytes,
            asio::steady_timer& aTimer)
  {
    static constexpr std::chrono::milliseconds kHeldBackInterval{ 50 };
    const bool heldBack = m_mode.name == "silence";
    const bool dropped = m_mode.name == "one-way" && &aFrom == &m_caller;
    if (dropped) {
      Read(aFrom, aTo, aBuffer, aTimer);
      return;
    }
    aTimer.expires_after(heldBack ? kHeldBackInterval : m_mode.delay);
    aTimer.async_wait([self = shared_from_this(),
                       &aFrom,
                       &aTo,
                       &aBuffer,
                       aBytes,
                       &aTimer,
                       heldBack](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      if (heldBack) {
        self->Pass(aFrom, aTo, aBuffer, aBytes, aTimer);
        return;
      }
      asio::async_write(
        aTo,
        asio::buffer(aBuffer.data(), aBytes),
        [self, &aFrom, &aTo, &aBuffer, &aTimer](
          const boost::system::error_code& aWriteError, std::size_t) {
          if (aWriteError) {
            self->Close(true);
          } else {
            self->Read(aFrom, aTo, aBuffer, aTimer);
          }
        });
    });
  }

  const Mode& m_mode;
  tcp::socket m_caller;
  tcp::socket m_server;
  asio::steady_timer m_callerTimer;
  asio::steady_timer m_serverTimer;
  Buffer m_toServer{};
  Buffer m_toCaller{};
};

class FaultyProxy
{
public:
  FaultyProxy(asio::io_context& aIo,
              const tcp::endpoint& aListen,
              tcp::endpoint aServer,
              std::string aModeFile)
    : m_io(aIo)
    , m_acceptor(aIo, aListen)
    , m_server(std::move(aServer))
    , m_modeFile(std::move(aModeFile))
    , m_timer(aIo)
  {
    Accept();
    ReadMode();
  }

private:
  void Accept()
  {
    m_acceptor.async_accept(
      [this](const boost::system::error_code& aError, tcp::socket aCaller) {
        if (aError) {
          return;
        }
        const auto connection =
          std::make_shared<Connection>(m_io, std::move(aCaller), m_mode);
        if (m_mode.name == "reset") {
          connection->Close(true);
        } else {
          std::erase_if(m_connections, [](const auto& aConnection) {
            return aConnection.expired();
          });
          m_connections.push_back(connection);
          connection->Start(m_server);
        }
        Accept();
      });
  }

  void ReadMode()
  {
    static constexpr std::chrono::milliseconds kInterval{ 50 };
    Mode mode;
    std::ifstream file(m_modeFile);
    std::int64_t delayMs = 0;
    if (file >> mode.name && file >> delayMs) {
      mode.delay = std::chrono::milliseconds(delayMs);
    }
    m_mode = mode;
    if (m_mode.name == "reset") {
      for (const auto& weak : m_connections) {
        if (const auto connection = weak.lock()) {
          connection->Close(true);
        }
      }
      m_connections.clear();
    }
    m_timer.expires_after(kInterval);
    m_timer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        ReadMode();
      }
    });
  }

  asio::io_context& m_io;
  tcp::acceptor m_acceptor;
  tcp::endpoint m_server;
  std::string m_modeFile;
  asio::steady_timer m_timer;
  Mode m_mode;
  std::vector<std::weak_ptr<Connection>> m_connections;
};

static tcp::endpoint
EndpointOf(const std::string& aAddress)
{
  boost::system::error_code error;
  tcp::endpoint endpoint = ParseEndpoint(aAddress, error);
  if (error) {
    throw std::invalid_argument("not an address: " + aAddress);
  }
  return endpoint;
}

} // namespace fuchsiaramp

int
main(int aCount, char** aArguments)
{
  using Text = TCLAP::ValueArg<std::string>;
  TCLAP::CmdLine line("Forwards connections and injects network faults.");
  Text listen("", "listen", "Address.", true, "", "IP:PORT", line);
  Text server("", "to", "Address to forward to.", true, "", "IP:PORT", line);
  Text mode("", "mode-file", "File with the mode.", true, "", "FILE", line);
  line.parse(aCount, aArguments);
  boost::asio::io_context io(1);
  fuchsiaramp::FaultyProxy proxy(io,
                                 fuchsiaramp::EndpointOf(listen.getValue()),
                                 fuchsiaramp::EndpointOf(server.getValue()),
                                 mode.getValue());
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}
