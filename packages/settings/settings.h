// Settings of one daemon, read from YAML.
//
//   Findings findings("entry-1.yaml");
//   Settings settings = ReadSettings(text, findings);
//   if (!findings.IsEmpty()) { std::cerr << findings.Text(); return 2; }
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/findings.h"
#include "base/ids.h"
#include "base/time.h"

namespace fuchsiaramp {

enum class Role
{
  kEntry,
  kControl,
};

// Another host of the fleet that the settings name.
struct PeerSettings
{
  HostId host;
  std::string messageAddress; // IP:port
  std::string publicKey;      // Z85, 40 characters; empty with plaintext
};

struct KeySettings
{
  bool plaintext = false;
  std::string publicKey;                // Z85
  std::string secretKeyFile;            // file with the Z85 secret key
  std::vector<std::string> trustedKeys; // further keys that may connect, Z85
};

// Weights and limits of routing under gray failure.
struct RoutingSettings
{
  // Evidence needed to eject, as a log-likelihood ratio. Lower values detect
  // sooner, higher values eject fewer healthy servers.
  double ejectionThreshold = 8.0;
  // Share of the announced servers of a service that ejection always leaves.
  double floor = 0.6;
  // Share of extra attempts that retries may add to a service.
  double retryBudget = 0.1;
  // Retries beyond that share in a window, of all entry hosts together.
  double retrySlack = 20.0;
  // Entry hosts tell each other single outcomes through control hosts and
  // choose by beliefs, instead of following an arbiter for each service.
  bool sharesOutcomes = false;
  // What leaving the failure domain or the region costs, as a share of the
  // worth of a request.
  double domainCost = 0.2;
  double regionCost = 0.25;
  // How long a request waits for a slot in its failure domain before it leaves.
  Duration staysNear = std::chrono::milliseconds(80);
  Duration requestTimeout = std::chrono::seconds(10);
  Duration attemptTimeout = std::chrono::seconds(3);
  Duration queueTimeout = std::chrono::milliseconds(500);
  // How long an idle connection to a backend server is used again.
  Duration idleLifetime = std::chrono::seconds(30);
  Duration connectTimeout = std::chrono::seconds(1);
};

struct LimitSettings
{
  std::uint64_t requestBodyBytes = 1 << 20;
  std::uint64_t responseBodyBytes = 8 << 20;
  std::uint64_t headerBytes = 16 << 10;
  std::uint64_t callerConnections = 4096;
  Duration headerTimeout = std::chrono::seconds(10);
  Duration idleTimeout = std::chrono::seconds(60);
};

struct LedgerSettings
{
  std::uint64_t groups = 1;         // ledger groups besides the lists group
  std::uint64_t bytes = 1ULL << 30; // per group
  std::uint64_t storedResponseBytes = 16 << 10;
  Duration retention = std::chrono::hours(72);
};

// How a control host takes part in the consensus groups.
struct GroupSettings
{
  // Whether this host may found the groups with the other named hosts.
  bool mayBootstrap = true;
  // Whether control hosts that the settings do not name may join.
  bool openMembership = false;
  Duration electionTimeout = std::chrono::milliseconds(1000);
  Duration heartbeatInterval = std::chrono::milliseconds(150);
  // A backend server that is silent for this long is taken for gone.
  Duration serverLifetime = std::chrono::seconds(12);
};

// Which words the daemon speaks towards the outside.
enum class Interface
{
  kOwn,
  kPlatform,
};

struct Settings
{
  HostId host;
  Role role = Role::kEntry;
  Region region;
  FailureDomain failureDomain;
  std::string callerAddress;     // IP:port for callers (entry) or operators
  std::string readinessAddress;  // IP:port; empty: on the callers' address
  std::string directoryAddress;  // IP:port; empty: on the callers' address
  std::string metricsAddress;    // IP:port; empty: no address of its own
  std::string messageAddress;    // IP:port between the system's processes
  std::string dataFolder;        // control only
  std::string operatorTokenHash; // SHA-256, hexadecimal
  std::string logLevel = "INFO";
  std::string name; // of the machine, for log lines; the host where empty
  Interface interface = Interface::kOwn;
  // The region of each failure domain, where servers do not name theirs.
  std::map<std::string, std::string> regions;
  std::vector<PeerSettings> controlHosts;
  std::vector<PeerSettings> seeds; // entry hosts to join through
  KeySettings keys;
  RoutingSettings routing;
  LimitSettings limits;
  LedgerSettings ledger;
  GroupSettings group;
  // Entry hosts learn of each other through control instead of by gossip.
  bool membershipByControl = false;
  // Entry hosts named to a caller that asks for those nearby: a share of those
  // of its failure domain, and no fewer than a number.
  std::size_t minSameDomainAddresses = 2;
  double sameDomainShare = 0.0;
  // How often an entry host asks a control host for news.
  Duration pullInterval = std::chrono::seconds(1);
  Duration addressLifetime = std::chrono::seconds(30);
  Duration announcementLifetime = std::chrono::seconds(3);
};

// Reads and validates; every problem becomes a finding with its place.
Settings
ReadSettings(const std::string& aText, Findings& aFindings);

// The host at another port of the machine that an address names. Hosts of such
// a fleet are named by their message address.
PeerSettings
PeerAtPort(const std::string& aAddress, std::uint64_t aPort);

// All keys that may connect: those listed and those of the named peers.
std::vector<std::string>
TrustedKeys(const Settings& aSettings);

// Whether the text is "IPv4:port" with a port from 1 to 65535.
bool
IsAddress(const std::string& aText);

} // namespace fuchsiaramp
