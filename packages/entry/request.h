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

// What a caller may conclude about the work it asked for.
enum class CallerOutcome
{
  kAnswered, // ran; the answer is whole
  kNotRun,   // did not run and will not
  kUnknown,  // may have run
};

// "answered", "not-run" or "unknown".
const char*
ToText(CallerOutcome aOutcome);

// A caller's request, whole.
struct RequestHead
{
  RequestId id;
  std::string host; // of the Host header, without a port
  ServiceName service;
  std::string path;
  std::string token; // bearer token as received; empty when missing
  IdempotencyKey key;
  std::string bodyHash; // SHA-256 of method, path and body
  Fingerprint fingerprint;
  TimePoint deadline;
  // The id that the caller gave to this send, if any; for logs.
  std::string callerRequestId;
  // The caller speaks an interface without tokens: only open routes count.
  bool tokenless = false;
};

// Asks the adapter to send a request to a backend server.
struct AttemptStart
{
  AttemptId id;
  RequestId request;
  BackendServerId server;
  std::string address;         // IP:port
  std::string callerRequestId; // of the request
  TimePoint deadline;
  // Open a new connection instead of using an idle one.
  bool requiresNewConnection = false;
};

// The connection that carries an attempt.
enum class ConnectionKind
{
  kNew,
  kReused, // something between the two ends may have lost track of it
};

// How an attempt ended.
struct AttemptEnd
{
  AttemptId id;
  AttemptOutcome outcome = AttemptOutcome::kSuccess;
  std::uint32_t status = 0;
  std::optional<std::uint32_t> reportedLoad;
  bool serverIsLeaving = false;
  std::string contentType;
  // The answer body when it is small enough for the ledger.
  std::optional<std::string> body;
};

// An answer that the ledger kept for an idempotency key.
struct StoredResponse
{
  std::uint32_t status = 0;
  std::string contentType;
  std::string body;
};

// What the caller gets. Either the answer of an attempt is relayed, or a stored
// answer is given, or the request is refused with status and reason.
struct FinalResponse
{
  RequestId request;
  CallerOutcome outcome = CallerOutcome::kNotRun;
  std::uint32_t status = 503;
  std::string reason;
  std::optional<Duration> retryAfter;
  std::optional<AttemptId> relay;
  std::optional<StoredResponse> stored;
};

} // namespace fuchsiaramp
