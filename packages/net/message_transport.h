// Carries messages between the hosts of the system over ZeroMQ.
//
// One socket accepts connections, the other opens them; both drop messages to
// a peer whose send queue is full. With keys, CURVE encrypts all traffic and
// only trusted keys may connect. A freshness filter drops late messages, so
// that those queued during a partition have no effect after it.
//
//   MessageTransport transport(io, options, clock, [](HostId, Envelope) {});
//   transport.SetPeer(host, "10.0.0.7:7000", publicKey);
//   transport.Send(host, envelope);
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include "base/ids.h"
#include "observe/causal_clock.h"
#include "wire/freshness.h"
#include "wire/messages.h"

namespace fuchsiaramp {

struct MessageTransportOptions
{
  HostId self;
  std::uint64_t incarnation = 1;
  std::string bindAddress; // IP:port
  // Z85-encoded keys; empty for plaintext.
  std::string publicKey;
  std::string secretKey;
  std::vector<std::string> trustedKeys;
};

struct TrafficCounter
{
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

struct TransportCounters
{
  std::uint64_t sent = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t received = 0;
  std::uint64_t receivedBytes = 0;
  // Late, replayed, of an old incarnation, or not sent because of an error.
  std::uint64_t dropped = 0;
  std::uint64_t malformed = 0;
  // Texts of received messages that are not valid UTF-8.
  std::size_t escapedTexts = 0;
  std::uint64_t refusedKeys = 0;
  // Records of hosts without an address to connect to.
  std::uint64_t invalidAddresses = 0;
  std::map<std::string, TrafficCounter> sentByKind;
};

class MessageTransport
{
public:
  using MessageHook =
    std::function<void(const HostId& aFrom, const wire::Envelope& aMessage)>;

  // Throws zmq::error_t when the address cannot be bound.
  MessageTransport(boost::asio::io_context& aIo,
                   MessageTransportOptions aOptions,
                   CausalClock& aClock,
                   MessageHook aOnMessage);
  ~MessageTransport();
  MessageTransport(const MessageTransport&) = delete;
  MessageTransport& operator=(const MessageTransport&) = delete;

  // Sets the address of a host; the first message to it opens the connection.
  // A host without a valid address is sent to over the connection it opened.
  void SetPeer(const HostId& aHost,
               const std::string& aAddress,
               const std::string& aPublicKey);
  // Sends to a host without a known address over the connection it opened.
  void Send(const HostId& aTo, const wire::Envelope& aMessage);
  // Reads the messages that have arrived. Must be called regularly, since a
  // readiness event can be missed.
  void Poll();
  const TransportCounters& Counters() const { return m_counters; }

private:
  struct Peer
  {
    std::string address; // empty if invalid
    std::string publicKey;
    std::string routingId; // of the connection; empty if there is none
  };

  void Bind();
  bool Connect(const HostId& aHost, Peer& aPeer);
  void Disconnect(const std::string& aAddress);
  HostId SenderOf(const zmq::socket_t& aSocket,
                  const std::string& aRoutingId) const;
  void WaitReadable(zmq::socket_t& aSocket,
                    boost::asio::posix::stream_descriptor& aDescriptor,
                    bool aIsZap);
  void ReadBatch(zmq::socket_t& aSocket);
  void ScheduleRead(zmq::socket_t& aSocket);
  void AnswerZapRequests();
  void OnPayload(const HostId& aFrom, const zmq::message_t& aPayload);

  MessageTransportOptions m_options;
  CausalClock& m_clock;
  MessageHook m_onMessage;
  zmq::context_t m_context;
  zmq::socket_t m_zapSocket;
  zmq::socket_t m_incoming;
  zmq::socket_t m_outgoing;
  boost::asio::posix::stream_descriptor m_zapFd;
  boost::asio::posix::stream_descriptor m_incomingFd;
  boost::asio::posix::stream_descriptor m_outgoingFd;
  std::set<std::string> m_trustedKeys; // binary, not Z85
  std::unordered_map<HostId, Peer> m_peers;
  std::unordered_map<std::string, HostId> m_hostsByRoutingId;
  std::uint64_t m_connections = 0; // opened so far
  FreshnessFilter m_freshness;
  std::uint64_t m_sequence = 0;
  bool m_readScheduled = false;
  TransportCounters m_counters;
};

} // namespace fuchsiaramp
