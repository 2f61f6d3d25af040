#define BOOST_TEST_MODULE message_transport
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "net/message_transport.h"

namespace fuchsiaramp {

namespace asio = boost::asio;
using asio::ip::tcp;

static std::string
FreeAddress()
{
  asio::io_context io;
  tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// A host with a transport that counts the messages it receives.
class TestHost
{
public:
  TestHost(asio::io_context& aIo,
           const std::string& aName,
           const std::string& aAddress)
    : m_transport(aIo,
                  Options(aName, aAddress),
                  m_clock,
                  [this](const HostId& aFrom, const wire::Envelope&) {
                    ++m_received[aFrom];
                  })
  {
  }

  static MessageTransportOptions Options(const std::string& aName,
                                         const std::string& aAddress)
  {
    MessageTransportOptions options;
    options.self = HostId(aName);
    options.bindAddress = aAddress;
    return options;
  }

  CausalClock m_clock;
  std::map<HostId, int> m_received;
  MessageTransport m_transport;
};

class TransportFixture
{
public:
  // Sends messages to aTo until it receives one from the sender.
  bool Reaches(TestHost& aFrom, const HostId& aTo, TestHost& aReceiver)
  {
    aReceiver.m_received.clear();
    for (int i = 0; i < 300 && aReceiver.m_received.empty(); ++i) {
      aFrom.m_transport.Send(aTo, wire::Envelope());
      m_io.run_for(std::chrono::milliseconds(10));
      m_io.restart();
      aReceiver.m_transport.Poll();
    }
    return !aReceiver.m_received.empty();
  }

  asio::io_context m_io;
  const std::string m_first = FreeAddress();
  const std::string m_second = FreeAddress();
  TestHost m_sender{ m_io, "sender", FreeAddress() };
  TestHost m_peer{ m_io, "peer", m_first };
};

// ZeroMQ aborted while the routing id of the former connection was in use.
BOOST_FIXTURE_TEST_CASE(APeerThatMovesIsReachedAtItsNewAddress,
                        TransportFixture)
{
  const HostId peer("peer");
  TestHost moved(m_io, "peer", m_second);
  for (int i = 0; i < 10; ++i) {
    m_sender.m_transport.SetPeer(peer, m_first, "");
    BOOST_TEST(Reaches(m_sender, peer, m_peer));
    m_sender.m_transport.SetPeer(peer, m_second, "");
    BOOST_TEST(Reaches(m_sender, peer, moved));
  }
}

BOOST_FIXTURE_TEST_CASE(AReplyComesOverTheConnectionThatItsReceiverOpened,
                        TransportFixture)
{
  const HostId peer("peer");
  m_sender.m_transport.SetPeer(peer, m_first, "");
  BOOST_TEST(Reaches(m_sender, peer, m_peer));
  BOOST_TEST(Reaches(m_peer, HostId("sender"), m_sender));
  BOOST_TEST(m_sender.m_received.count(peer) == 1u);
}

BOOST_FIXTURE_TEST_CASE(TwoPeersMayNameTheSameAddress, TransportFixture)
{
  for (const char* name : { "peer", "copy" }) {
    m_sender.m_transport.SetPeer(HostId(name), m_first, "");
    m_sender.m_transport.Send(HostId(name), wire::Envelope());
  }
  BOOST_TEST(Reaches(m_sender, HostId("peer"), m_peer));
  for (const char* name : { "peer", "copy" }) {
    m_sender.m_transport.SetPeer(HostId(name), m_second, "");
    m_sender.m_transport.Send(HostId(name), wire::Envelope());
  }
  m_sender.m_transport.SetPeer(HostId("peer"), m_first, "");
  BOOST_TEST(Reaches(m_sender, HostId("peer"), m_peer));
}

BOOST_FIXTURE_TEST_CASE(PeersWithOddNamesOrAddressesLeaveTheOthersReachable,
                        TransportFixture)
{
  const std::string odd[] = { "",
                              "x",
                              ":",
                              "127.0.0.1",
                              "127.0.0.1:",
                              "127.0.0.1:0",
                              "127.0.0.1:65536",
                              "127.0.0.1:99999999999999999999",
                              "999.0.0.1:80",
                              "*:*",
                              "tcp://127.0.0.1:80",
                              "0.0.0.0:80",
                              "no.such.host.invalid:80",
                              "127.0.0.1:80;127.0.0.1:81",
                              std::string("127.0.0.1:80\0", 13),
                              "\xff\xfe:80",
                              std::string(100'000, '[') };
  for (const std::string& text : odd) {
    for (const std::string& name : { text, "named" + text }) {
      m_sender.m_transport.SetPeer(HostId(name), text, text);
      m_sender.m_transport.Send(HostId(name), wire::Envelope());
      m_sender.m_transport.SetPeer(HostId(name), m_second, "");
      m_sender.m_transport.Send(HostId(name), wire::Envelope());
    }
  }
  m_sender.m_transport.SetPeer(HostId("peer"), m_first, "");
  BOOST_TEST(Reaches(m_sender, HostId("peer"), m_peer));
}

// As an earlier build may send it.
BOOST_FIXTURE_TEST_CASE(AMessageWithTextThatIsNotUtf8IsNotDropped,
                        TransportFixture)
{
  m_sender.m_transport.SetPeer(HostId("peer"), m_first, "");
  BOOST_TEST(Reaches(m_sender, HostId("peer"), m_peer));
  wire::Envelope message;
  message.mutable_lists_push()->add_group_leaders("control-\xff");
  m_peer.m_received.clear();
  m_sender.m_transport.Send(HostId("peer"), message);
  for (int i = 0; i < 100 && m_peer.m_received.empty(); ++i) {
    m_io.run_for(std::chrono::milliseconds(10));
    m_io.restart();
    m_peer.m_transport.Poll();
  }
  BOOST_TEST(m_peer.m_received.size() == 1u);
  BOOST_TEST(m_peer.m_transport.Counters().malformed == 0u);
  BOOST_TEST(m_peer.m_transport.Counters().escapedTexts == 1u);
}

BOOST_FIXTURE_TEST_CASE(SignalsEndNoCall, TransportFixture)
{
  std::signal(SIGUSR1, [](int) {});
  const pthread_t receiver = ::pthread_self();
  std::atomic<bool> stop{ false };
  std::thread sender([&] {
    while (!stop) {
      ::pthread_kill(receiver, SIGUSR1);
      std::this_thread::sleep_for(std::chrono::microseconds(20));
    }
  });
  m_sender.m_transport.SetPeer(HostId("peer"), m_first, "");
  int errors = 0;
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(1);
  while (std::chrono::steady_clock::now() < until) {
    try {
      m_sender.m_transport.Send(HostId("peer"), wire::Envelope());
      m_sender.m_transport.Poll();
      m_peer.m_transport.Poll();
    } catch (const std::exception&) {
      ++errors;
    }
  }
  stop = true;
  sender.join();
  BOOST_TEST(errors == 0);
  BOOST_TEST(Reaches(m_sender, HostId("peer"), m_peer));
}

// ZeroMQ aborted when it sent a heartbeat on such a connection.
BOOST_FIXTURE_TEST_CASE(AConnectionThatClosesWhileItsMessagesWaitEndsNoProcess,
                        TransportFixture)
{
  constexpr int kMessages = 20'000;
  constexpr int kMessagesPerBurst = 500;
  asio::io_context stalledIo;
  TestHost stalled(stalledIo, "stalled", m_second);
  const HostId stalledHost("stalled");
  {
    TestHost leaving(m_io, "leaving", FreeAddress());
    leaving.m_transport.SetPeer(stalledHost, m_second, "");
    BOOST_TEST(Reaches(leaving, stalledHost, stalled));
    for (int i = 0; i < kMessages; ++i) {
      leaving.m_transport.Send(stalledHost, wire::Envelope());
      if (i % kMessagesPerBurst == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    }
  }
  // Several heartbeats.
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  std::uint64_t received = 0;
  while (stalled.m_transport.Counters().received != received) {
    received = stalled.m_transport.Counters().received;
    stalled.m_transport.Poll();
  }
  m_sender.m_transport.SetPeer(stalledHost, m_second, "");
  BOOST_TEST(Reaches(m_sender, stalledHost, stalled));
}

// ZeroMQ aborted when it sent a heartbeat on such a connection.
BOOST_FIXTURE_TEST_CASE(AConnectionThatANewerOneReplacedEndsNoProcess,
                        TransportFixture)
{
  constexpr int kMessages = 1500;
  const HostId peer("peer");
  const auto settle = [this](int aMilliseconds) {
    for (int i = 0; i < aMilliseconds / 10; ++i) {
      m_io.run_for(std::chrono::milliseconds(10));
      m_io.restart();
      m_peer.m_transport.Poll();
    }
  };
  TestHost newer(m_io, "twin", FreeAddress());
  {
    TestHost older(m_io, "twin", FreeAddress());
    older.m_transport.SetPeer(peer, m_first, "");
    BOOST_TEST(Reaches(older, peer, m_peer));
    newer.m_transport.SetPeer(peer, m_first, "");
    newer.m_transport.Send(peer, wire::Envelope());
    settle(300);
    for (int i = 0; i < kMessages; ++i) {
      older.m_transport.Send(peer, wire::Envelope());
    }
  }
  // Several heartbeats.
  settle(3500);
  m_sender.m_transport.SetPeer(peer, m_first, "");
  BOOST_TEST(Reaches(m_sender, peer, m_peer));
}

// The bytes of a handshake were lost on a link whose fault ended later, and
// nothing was sent to the peer for 30 s.
BOOST_FIXTURE_TEST_CASE(AConnectionThatIsSilentSinceItOpenedIsReplaced,
                        TransportFixture)
{
  const HostId peer("silent");
  tcp::acceptor acceptor(m_io,
                         { asio::ip::address_v4::loopback(),
                           static_cast<std::uint16_t>(std::stoi(
                             m_second.substr(m_second.rfind(':') + 1))) });
  m_sender.m_transport.SetPeer(peer, m_second, "");
  m_sender.m_transport.Send(peer, wire::Envelope());
  const tcp::socket silent = acceptor.accept();
  acceptor.close();
  TestHost host(m_io, "silent", m_second);
  BOOST_TEST(Reaches(m_sender, peer, host));
}

} // namespace fuchsiaramp
