// The settings of one daemon, which are read from a YAML document.
//
//   Findings findings("entry-1.yaml");
//   Findings ignored("entry-1.yaml");
//   Settings settings = ReadSettings(text, findings, ignored);
//   std::cerr << findings.Text() << ignored.Text();
//   if (!findings.IsEmpty()) { return 2; }
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/findings.h"
#include "base/ids.h"
#include "base/shutdown_plan.h"
#include "base/time.h"

namespace fuchsiaramp {

// Maximum time until every host that returns addresses knows that a host is
// leaving.
inline constexpr Duration kLeavePropagationTime = std::chrono::seconds(3);

enum class Role
{
  kEntry,
  kControl,
};

// Another host of the fleet that is listed in the settings.
struct PeerSettings
{
  HostId host;
  std::string messageAddress; // IP:port
  std::string publicKey;      // Z85, 40 characters; may be empty with plaintext
};

struct KeySettings
{
  bool plaintext = false;
  std::string publicKey;                // Z85
  std::string secretKeyFile;            // file with the Z85 secret key
  std::vector<std::string> trustedKeys; // additional accepted keys, Z85
};

// Parameters of routing under gray failures.
struct RoutingSettings
{
  // Evidence needed to eject, as a log-likelihood ratio. Lower values detect
  // sooner, higher values eject fewer healthy servers.
  double ejectionThreshold = 8.0;
  // Minimum share of the announced servers of a service that ejection leaves in
  // use.
  double floor = 0.6;
  // Maximum ratio of retries to requests of a service.
  double retryBudget = 0.1;
  // Maximum number of retries beyond that share in any time window, over all
  // entry hosts together.
  double retrySlack = 20.0;
  // Maximum ratio of second attempts, started while the first one is slow, to
  // requests of a service; 0: none. If unset, they start after 3.5 times the
  // 40th percentile of the latency, within the retry budget.
  std::optional<double> extraAttempts;
  // Entry hosts share the outcomes of single requests through control hosts and
  // select servers by health estimates, instead of by the ejection decisions of
  // an arbiter for each service.
  bool sharesOutcomes = false;
  // Cost of leaving the failure domain or the region, as a share of the value
  // of a request.
  double domainCost = 0.2;
  double regionCost = 0.25;
  // Maximum time that a request waits for a slot in its failure domain before
  // it may use a server elsewhere.
  Duration maxLocalWait = std::chrono::milliseconds(80);
  Duration requestTimeout = std::chrono::seconds(10);
  Duration attemptTimeout = std::chrono::seconds(3);
  Duration queueTimeout = std::chrono::milliseconds(500);
  // A connection to a backend server is not reused after this idle time.
  Duration idleLifetime = std::chrono::seconds(30);
  Duration connectTimeout = std::chrono::seconds(1);
  // Bytes of request bodies that are sent to one backend server at a time. A
  // single larger body is sent alone.
  std::uint64_t serverBytes = 8 << 20;
};

struct LimitSettings
{
  std::uint64_t requestBodyBytes = 1 << 20;
  std::uint64_t responseBodyBytes = 8 << 20;
  std::uint64_t headerBytes = 16 << 10;
  std::uint64_t callerConnections = 4096;
  Duration headerTimeout = std::chrono::seconds(10);
  Duration idleTimeout = std::chrono::seconds(60);
  // A caller that accepts no byte of its response for this long is
  // disconnected.
  Duration writeTimeout = std::chrono::seconds(10);
  // Bytes of bodies that an entry host holds at a time; 0: unlimited. By
  // default a quarter of memoryMb.
  std::uint64_t bufferedBytes = 0;
};

struct LedgerSettings
{
  std::uint64_t groups = 1; // ledger groups in addition to the lists group
  std::uint64_t bytes = 1ULL << 30; // per group
  std::uint64_t storedResponseBytes = 16 << 10;
  Duration retention = std::chrono::hours(72);
};

// Participation of a control host in the consensus groups.
struct GroupSettings
{
  // Whether this host may bootstrap the groups together with the other listed
  // hosts.
  bool mayBootstrap = true;
  // Whether control hosts that are not listed in the settings may join.
  bool openMembership = false;
  Duration electionTimeout = std::chrono::milliseconds(1000);
  Duration heartbeatInterval = std::chrono::milliseconds(150);
  // A backend server that sends no report for this long is considered gone.
  Duration serverLifetime = std::chrono::seconds(12);
};

// The external API that a daemon serves.
enum class ExternalApiKind
{
  kNative,
  kPlatform,
};

struct Settings
{
  HostId host;
  Role role = Role::kEntry;
  Region region;
  FailureDomain failureDomain;
  std::string callerAddress;     // IP:port for callers (entry) or operators
  std::string readinessAddress;  // IP:port; empty: same as callerAddress
  std::string directoryAddress;  // IP:port; empty: same as callerAddress
  std::string metricsAddress;    // IP:port; empty: no separate address
  std::string messageAddress;    // IP:port for messages between hosts
  std::string dataFolder;        // control hosts only
  std::string operatorTokenHash; // SHA-256, hexadecimal
  std::string logLevel = "INFO";
  std::string name; // of the machine, in log lines; by default the host
  ExternalApiKind externalApi = ExternalApiKind::kNative;
  // The region of each failure domain, for servers that do not report theirs.
  std::map<std::string, std::string> regions;
  std::vector<PeerSettings> controlHosts;
  std::vector<PeerSettings> seeds; // entry hosts through which this host joins
  KeySettings keys;
  RoutingSettings routing;
  LimitSettings limits;
  LedgerSettings ledger;
  GroupSettings group;
  // Entry hosts discover each other through control hosts instead of by gossip.
  bool membershipByControl = false;
  // A caller that requests the entry hosts of its failure domain receives the
  // addresses of this share of them, but at least of this number.
  std::size_t minSameDomainAddresses = 2;
  double sameDomainShare = 0.0;
  double linkMbps = 0.0; // of the host's link, in Mbit/s; 0 if unknown
  double memoryMb = 0.0; // that the process may use, in 10^6 bytes; 0: unknown
  // Interval at which an entry host pulls updates from a control host.
  Duration pullInterval = std::chrono::seconds(1);
  // An entry host serves requests that need a key only while everything that
  // was acknowledged this long ago is surely in force on it. Empty: always.
  std::optional<Duration> keyLease;
  Duration addressLifetime = std::chrono::seconds(30);
  Duration announcementLifetime = std::chrono::seconds(3);
  // From SIGTERM until the process is killed. A range if no setting names it.
  GracePeriod gracePeriod{ std::chrono::seconds(44) };
  bool isGracePeriodNamed = false;
};

// Reads and validates settings. Each error becomes a finding with its position:
// in aIgnored if the setting has a default that keeps every promise, which then
// holds, and in aFindings if no daemon may start with these settings.
Settings
ReadSettings(const std::string& aText, Findings& aFindings, Findings& aIgnored);

// Returns the host at the given port of the machine with the given address. The
// id of the host is its message address.
PeerSettings
PeerAtPort(const std::string& aAddress, std::uint64_t aPort);

// Returns all accepted public keys: the trusted keys, the host's own key and
// the keys of the listed peers.
std::vector<std::string>
TrustedKeys(const Settings& aSettings);

// Returns whether the text is "IPv4:port" with a port from 1 to 65535.
bool
IsAddress(const std::string& aText);

} // namespace fuchsiaramp
