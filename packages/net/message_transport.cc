#include "net/message_transport.h"

#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>
#include <zmq.h>

#include "net/address.h"
#include "net/monotonic.h"
#include "wire/decode.h"

namespace fuchsiaramp {

static constexpr Duration kMessageTtl = std::chrono::seconds(3);
static constexpr int kMaxUnsentMessages = 2000; // messages per peer
// Unlimited, since ZeroMQ ends the process if a connection closes while a full
// queue keeps it from being read and a heartbeat is due on it. Messages that
// waited for longer than their time to live are dropped unhandled.
static constexpr int kMaxUnreadMessages = 0;
static constexpr std::int64_t kMaxMessageBytes = 64 << 20;
// These timeouts close a dead connection and reconnect without the kernel's
// exponential backoff, so that hosts receive each other's messages within a
// second after a partition ends.
static constexpr int kHeartbeatMs = 1000;
static constexpr int kHeartbeatTimeoutMs = 1500;
// The accepting side closes a connection without heartbeats after this time.
static constexpr int kHeartbeatTtlMs = kHeartbeatMs + kHeartbeatTimeoutMs;
static constexpr int kUnackedTimeoutMs = 1500;
static constexpr int kConnectTimeoutMs = 500;
// The library waits for 30 s by default. Neither heartbeats nor unacknowledged
// bytes reveal a connection whose handshake was lost on the way.
static constexpr int kHandshakeTimeoutMs = 2000;
static constexpr int kReconnectMs = 100;
static constexpr int kReconnectMaxMs = 500;
// Bounds one batch of reads, so that other events are handled in between.
static constexpr int kMaxMessagesPerRead = 256;
static constexpr std::size_t kKeyBytes = 32;

static void
SetCommonOptions(zmq::socket_t& aSocket)
{
  aSocket.set(zmq::sockopt::linger, 0);
  aSocket.set(zmq::sockopt::sndhwm, kMaxUnsentMessages);
  aSocket.set(zmq::sockopt::rcvhwm, kMaxUnreadMessages);
  aSocket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  aSocket.set(zmq::sockopt::tcp_maxrt, kUnackedTimeoutMs);
  aSocket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  aSocket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
  aSocket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  aSocket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
}

// Only the side that opened a connection sends heartbeats. ZeroMQ no longer
// reads an accepted connection that a newer one of the same host has replaced,
// and a heartbeat on it after its peer has closed it would end the process.
static void
EnableHeartbeats(zmq::socket_t& aOutgoing)
{
  aOutgoing.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
  aOutgoing.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  aOutgoing.set(zmq::sockopt::heartbeat_ttl, kHeartbeatTtlMs);
}

// Repeats a call that a signal interrupted before it had an effect.
template<class Call>
static auto
RetryIfInterrupted(const Call& aCall)
{
  while (true) {
    try {
      return aCall();
    } catch (const zmq::error_t& error) {
      if (error.num() != EINTR) {
        throw;
      }
    }
  }
}

static zmq::recv_result_t
Receive(zmq::socket_t& aSocket, zmq::message_t& aMessage)
{
  return RetryIfInterrupted(
    [&] { return aSocket.recv(aMessage, zmq::recv_flags::dontwait); });
}

static void
SendFrame(zmq::socket_t& aSocket,
          const std::string& aFrame,
          zmq::send_flags aFlags)
{
  RetryIfInterrupted([&] { return aSocket.send(zmq::buffer(aFrame), aFlags); });
}

static std::string
DecodeKey(const std::string& aZ85)
{
  std::array<std::uint8_t, kKeyBytes> bytes{};
  if (zmq_z85_decode(bytes.data(), aZ85.c_str()) == nullptr) {
    return "";
  }
  return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

// Returns the name of the first field that evidence carries, such as "poison".
static const char*
EvidenceName(const wire::Evidence& aEvidence)
{
  if (aEvidence.reports_size() > 0) {
    return "evidence_reports";
  }
  if (aEvidence.poison_size() > 0) {
    return "evidence_poison";
  }
  if (aEvidence.verdicts_size() > 0) {
    return "evidence_verdicts";
  }
  return aEvidence.loads_size() > 0 ? "evidence_loads" : "evidence_limits";
}

// Returns the name of the envelope's body field, such as "raft". Evidence is
// named by what it carries as well.
static std::string
BodyName(const wire::Envelope& aMessage)
{
  if (aMessage.has_evidence()) {
    return EvidenceName(aMessage.evidence());
  }
  const auto* field = wire::Envelope::descriptor()->FindFieldByNumber(
    static_cast<int>(aMessage.body_case()));
  return field == nullptr ? "none" : field->name();
}

MessageTransport::MessageTransport(boost::asio::io_context& aIo,
                                   MessageTransportOptions aOptions,
                                   CausalClock& aClock,
                                   MessageHook aOnMessage)
  : m_options(std::move(aOptions))
  , m_clock(aClock)
  , m_onMessage(std::move(aOnMessage))
  , m_context(1)
  , m_zapSocket(m_context, zmq::socket_type::rep)
  , m_incoming(m_context, zmq::socket_type::router)
  , m_outgoing(m_context, zmq::socket_type::router)
  , m_zapFd(aIo)
  , m_incomingFd(aIo)
  , m_outgoingFd(aIo)
{
  for (const std::string& key : m_options.trustedKeys) {
    m_trustedKeys.insert(DecodeKey(key));
  }
  Bind();
  WaitReadable(m_zapSocket, m_zapFd, true);
  WaitReadable(m_incoming, m_incomingFd, false);
  WaitReadable(m_outgoing, m_outgoingFd, false);
}

// The descriptors belong to the sockets and are not closed here.
MessageTransport::~MessageTransport()
{
  m_zapFd.release();
  m_incomingFd.release();
  m_outgoingFd.release();
}

void
MessageTransport::Bind()
{
  SetCommonOptions(m_incoming);
  SetCommonOptions(m_outgoing);
  // The new connection of a restarted host takes over its routing id.
  m_incoming.set(zmq::sockopt::router_handover, true);
  m_outgoing.set(zmq::sockopt::routing_id, m_options.self.Value());
  EnableHeartbeats(m_outgoing);
  m_zapSocket.set(zmq::sockopt::linger, 0);
  if (!m_options.secretKey.empty()) {
    m_zapSocket.bind("inproc://zeromq.zap.01");
    m_incoming.set(zmq::sockopt::zap_domain, "fuchsiaramp");
    m_incoming.set(zmq::sockopt::curve_server, true);
    m_incoming.set(zmq::sockopt::curve_secretkey, m_options.secretKey);
    m_outgoing.set(zmq::sockopt::curve_publickey, m_options.publicKey);
    m_outgoing.set(zmq::sockopt::curve_secretkey, m_options.secretKey);
  }
  m_incoming.bind("tcp://" + m_options.bindAddress);
}

void
MessageTransport::SetPeer(const HostId& aHost,
                          const std::string& aAddress,
                          const std::string& aPublicKey)
{
  Peer& peer = m_peers[aHost];
  if (!peer.routingId.empty() && peer.address != aAddress) {
    Disconnect(peer.address);
  }
  // Records of hosts may name anything. ZeroMQ would resolve a name or a
  // wildcard as well.
  boost::system::error_code error;
  const auto endpoint = ParseEndpoint(aAddress, error);
  const bool valid = !error && IsConnectable(endpoint);
  m_counters.invalidAddresses += valid ? 0 : 1;
  peer.address = valid ? aAddress : "";
  peer.publicKey = aPublicKey;
}

// ZeroMQ closes all connections to an address, also where several peers name
// it. Those of other peers are opened again by the next message.
void
MessageTransport::Disconnect(const std::string& aAddress)
{
  for (auto& [host, peer] : m_peers) {
    if (peer.address == aAddress) {
      m_hostsByRoutingId.erase(peer.routingId);
      peer.routingId.clear();
    }
  }
  try {
    m_outgoing.disconnect("tcp://" + aAddress);
  } catch (const zmq::error_t&) {
    ++m_counters.dropped;
  }
}

// Each connection has a routing id of its own: ZeroMQ ends the process if one
// is used again before the former connection is closed, which takes a while.
bool
MessageTransport::Connect(const HostId& aHost, Peer& aPeer)
{
  if (!aPeer.routingId.empty()) {
    return true;
  }
  if (aPeer.address.empty()) {
    return false;
  }
  const std::string routingId =
    std::to_string(++m_connections) + '/' + aHost.Value();
  try {
    if (!m_options.secretKey.empty()) {
      m_outgoing.set(zmq::sockopt::curve_serverkey, aPeer.publicKey);
    }
    m_outgoing.set(zmq::sockopt::connect_routing_id, routingId);
    m_outgoing.connect("tcp://" + aPeer.address);
  } catch (const zmq::error_t&) {
    return false;
  }
  aPeer.routingId = routingId;
  m_hostsByRoutingId[routingId] = aHost;
  return true;
}

HostId
MessageTransport::SenderOf(const zmq::socket_t& aSocket,
                           const std::string& aRoutingId) const
{
  if (&aSocket != &m_outgoing) {
    return HostId(aRoutingId);
  }
  const auto it = m_hostsByRoutingId.find(aRoutingId);
  return it == m_hostsByRoutingId.end() ? HostId() : it->second;
}

void
MessageTransport::Send(const HostId& aTo, const wire::Envelope& aMessage)
{
  wire::Envelope header;
  header.set_from(m_options.self.Value());
  header.set_incarnation(m_options.incarnation);
  header.set_sequence(++m_sequence);
  header.set_sent_at_us(ToMicros(MonotonicNow()));
  header.set_ttl_us(kMessageTtl.count());
  header.set_clock(m_clock.Next());
  const auto peer = m_peers.find(aTo);
  const bool direct = peer != m_peers.end() && Connect(aTo, peer->second);
  zmq::socket_t& socket = direct ? m_outgoing : m_incoming;
  // Concatenated messages are read as one, which saves a copy of the body. The
  // fields of the header replace those of the message.
  std::string payload = aMessage.SerializeAsString();
  header.AppendToString(&payload);
  ++m_counters.sent;
  m_counters.sentBytes += payload.size();
  TrafficCounter& kind = m_counters.sentByKind[BodyName(aMessage)];
  ++kind.messages;
  kind.bytes += payload.size();
  try {
    // A ROUTER socket drops messages it cannot deliver; senders tolerate loss.
    SendFrame(socket,
              direct ? peer->second.routingId : aTo.Value(),
              zmq::send_flags::sndmore | zmq::send_flags::dontwait);
    SendFrame(socket, payload, zmq::send_flags::dontwait);
  } catch (const zmq::error_t&) {
    ++m_counters.dropped;
  }
  ScheduleRead(socket);
}

// A send can consume the readiness event of arrived messages, so pending
// messages are read from the event loop.
void
MessageTransport::ScheduleRead(zmq::socket_t& aSocket)
{
  const int events =
    RetryIfInterrupted([&] { return aSocket.get(zmq::sockopt::events); });
  const bool readable = (events & ZMQ_POLLIN) != 0;
  if (!readable || m_readScheduled) {
    return;
  }
  m_readScheduled = true;
  boost::asio::post(m_incomingFd.get_executor(), [this] {
    m_readScheduled = false;
    Poll();
  });
}

// The descriptor of a ZeroMQ socket only signals that its state may have
// changed, so each event reads whatever has arrived, up to one batch.
void
MessageTransport::WaitReadable(
  zmq::socket_t& aSocket,
  boost::asio::posix::stream_descriptor& aDescriptor,
  bool aIsZap)
{
  if (!aDescriptor.is_open()) {
    aDescriptor.assign(aSocket.get(zmq::sockopt::fd));
  }
  aDescriptor.async_wait(boost::asio::posix::descriptor_base::wait_read,
                         [this, &aSocket, &aDescriptor, aIsZap](
                           const boost::system::error_code& aError) {
                           if (aError) {
                             return;
                           }
                           if (aIsZap) {
                             AnswerZapRequests();
                           } else {
                             ReadBatch(aSocket);
                           }
                           WaitReadable(aSocket, aDescriptor, aIsZap);
                         });
}

void
MessageTransport::Poll()
{
  AnswerZapRequests();
  ReadBatch(m_incoming);
  ReadBatch(m_outgoing);
}

void
MessageTransport::ReadBatch(zmq::socket_t& aSocket)
{
  for (int i = 0; i < kMaxMessagesPerRead; ++i) {
    zmq::message_t identity;
    if (!Receive(aSocket, identity)) {
      return;
    }
    zmq::message_t payload;
    bool last = !identity.more();
    while (!last) {
      if (!Receive(aSocket, payload)) {
        return;
      }
      last = !payload.more();
    }
    OnPayload(SenderOf(aSocket, identity.to_string()), payload);
  }
}

// The connection identifies the host; a message that names another sender is
// malformed.
void
MessageTransport::OnPayload(const HostId& aFrom, const zmq::message_t& aPayload)
{
  wire::Envelope envelope;
  const std::string_view bytes(static_cast<const char*>(aPayload.data()),
                               aPayload.size());
  const bool valid = Decode(bytes, envelope, m_counters.escapedTexts) &&
                     envelope.from() == aFrom.Value() && !aFrom.IsEmpty();
  ++m_counters.received;
  m_counters.receivedBytes += aPayload.size();
  if (!valid) {
    ++m_counters.malformed;
    return;
  }
  if (!m_freshness.Accept(envelope, MonotonicNow())) {
    ++m_counters.dropped;
    return;
  }
  m_clock.Observe(envelope.clock());
  m_onMessage(aFrom, envelope);
}

// Answers requests of the ZeroMQ Authentication Protocol (ZAP): only trusted
// keys may connect.
void
MessageTransport::AnswerZapRequests()
{
  while (true) {
    std::vector<std::string> frames;
    zmq::message_t frame;
    do {
      if (!Receive(m_zapSocket, frame)) {
        return;
      }
      frames.push_back(frame.to_string());
    } while (frame.more());
    // Frames: version, request id, domain, address, identity, mechanism, key.
    const bool trusted = frames.size() >= 7 && frames[5] == "CURVE" &&
                         m_trustedKeys.count(frames[6]) != 0;
    m_counters.refusedKeys += trusted ? 0 : 1;
    const std::string requestId = frames.size() > 1 ? frames[1] : "";
    const std::array<std::string, 6> reply = {
      "1.0", requestId, trusted ? "200" : "400", "", "", ""
    };
    for (std::size_t i = 0; i < reply.size(); ++i) {
      const bool more = i + 1 < reply.size();
      SendFrame(m_zapSocket,
                reply[i],
                more ? zmq::send_flags::sndmore : zmq::send_flags::none);
    }
  }
}

} // namespace fuchsiaramp
