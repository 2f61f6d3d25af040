// The typed events and actions between an entry node and its adapter.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "routing/service_router.h"

namespace fuchsiaramp {

// What a caller may conclude about its request.
enum class CallerOutcome
{
  kAnswered, // ran; the response is complete
  kNotRun,   // did not run and will not
  kUnknown,  // may have run
};

// "answered", "not-run" or "unknown".
const char*
ToText(CallerOutcome aOutcome);

// A caller's request, completely received.
struct RequestHead
{
  RequestId id;
  std::string host; // of the Host header, without a port
  ServiceName service;
  std::string path;
  std::string token; // bearer token as received; empty when missing
  // The SHA-256 of the token, in its place on a request that another entry host
  // forwards.
  std::string tokenHash;
  IdempotencyKey key;
  std::string bodyHash; // SHA-256 of method, path and body
  Fingerprint fingerprint;
  TimePoint deadline;
  // The id that the caller gave to this send, if any; used in logs.
  std::string callerRequestId;
  // The caller uses an interface without customers, which has only open routes.
  bool tokenless = false;
  // Another entry host forwards the request; it is not forwarded again.
  bool forwarded = false;
  // The number of servers that the forwarding host leaves for the request;
  // empty if an earlier build forwards it.
  std::optional<int> serversLeft;
};

// Asks the adapter to send a request to a backend server, or to another entry
// host on behalf of the caller.
struct AttemptStart
{
  AttemptId id;
  RequestId request;
  BackendServerId server;
  std::string address; // IP:port
  std::string callerRequestId;
  TimePoint deadline;
  // Open a new connection instead of using an idle one.
  bool requiresNewConnection = false;
  bool forwards = false; // to an entry host; server is empty
  int serversLeft = 0;   // for the other entry host, if it forwards
  // Remove the caller's token and team as the caller sent them, before any team
  // is set.
  bool removesCredentials = false;
  TeamName team; // whose key the request had; empty: set none
  // In place of the token on a request to another entry host; empty: set none.
  std::string tokenHash;
};

// The connection that carries an attempt.
enum class ConnectionKind
{
  kNew,
  kReused, // an intermediary may have dropped its state
};

// How an attempt ended.
struct AttemptEnd
{
  AttemptId id;
  AttemptOutcome outcome = AttemptOutcome::kSuccess;
  std::uint32_t status = 0;
  // The response had no length and was already too large to wait for room, so
  // that its end is no fault of a host that is short of room.
  bool isOversized = false;
  std::optional<std::uint32_t> reportedLoad;
  bool serverIsLeaving = false;
  // For how long the server wants no requests from this host, if it says so.
  std::optional<Duration> retryAfter;
  // Empty unless the server itself sent a response whose notice is valid.
  std::optional<LimitNotice> limitNotice;
  std::string contentType;
  // The response body if it is small enough for the ledger.
  std::optional<std::string> body;
};

// Whether a response with this status may end a request.
inline bool
IsFinalStatus(std::uint32_t aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

// A response that the ledger holds for an idempotency key.
struct StoredResponse
{
  std::uint32_t status = 0;
  std::string contentType;
  std::string body;
};

// The response to the caller: relayed from an attempt, stored in the ledger, or
// a refusal with status and reason.
struct FinalResponse
{
  RequestId request;
  CallerOutcome outcome = CallerOutcome::kNotRun;
  std::uint32_t status = 503;
  std::string reason;
  std::optional<Duration> retryAfter;
  std::optional<AttemptId> relay;
  bool hadExtraAttempt = false; // a second attempt while the first was slow
  std::optional<StoredResponse> stored;
};

} // namespace fuchsiaramp
