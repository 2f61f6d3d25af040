#include "settings/settings.h"

#include <array>
#include <charconv>
#include <optional>
#include <set>
#include <vector>

#include "settings/settings_document.h"
#include "settings/yaml_reader.h"

namespace fuchsiaramp {

namespace internal {

static constexpr std::size_t kPublicKeyChars = 40; // Z85 text of 32 bytes
static constexpr std::size_t kSha256HexChars = 64; // hexadecimal SHA-256
static constexpr std::uint64_t kGibibyte = 1ULL << 30;
static constexpr double kMaxLinkMbps = 1e6;
static constexpr double kMaxRetrySlack = 1e6;
static constexpr double kMinMemoryMb = 16.0;
static constexpr double kMaxMemoryMb = 1e8;
static constexpr double kBytesPerMb = 1e6;
// The other three quarters hold the process itself, its connections and what
// the allocator keeps.
static constexpr double kBufferedShareOfMemory = 0.25;
static constexpr std::uint64_t kMinBufferedBytes = 1 << 20;
static constexpr std::uint64_t kMinServerBytes = 64 << 10;
// What a stop takes beyond the requests that it waits for.
static constexpr Duration kStopMargin = std::chrono::seconds(1);
// Longer than handing over the groups takes.
static constexpr Duration kUnknownControlGracePeriod = std::chrono::seconds(5);

static std::string
Address(MapReader& aMap, const std::string& aKey, Findings& aFindings)
{
  std::string address = aMap.RequiredText(aKey);
  if (!address.empty() && !IsAddress(address)) {
    aFindings.Add(aMap.PositionOfKey(aKey),
                  "'" + aKey +
                    "' must be an IPv4 address and a port, such as "
                    "10.0.0.5:7000");
  }
  return address;
}

static std::string
OptionalAddress(MapReader& aMap, const std::string& aKey, Findings& aFindings)
{
  return aMap.Has(aKey) ? Address(aMap, aKey, aFindings) : "";
}

static void
CheckPublicKey(const std::string& aKey,
               SourcePosition aPosition,
               Findings& aFindings)
{
  if (!aKey.empty() && aKey.size() != kPublicKeyChars) {
    aFindings.Add(aPosition, "a public key must be 40 characters of Z85");
  }
}

static std::vector<PeerSettings>
Peers(MapReader& aMap,
      const std::string& aKey,
      bool aRequiresKey,
      Findings& aFindings)
{
  std::vector<PeerSettings> peers;
  for (const YAML::Node& item : aMap.Items(aKey)) {
    MapReader map(item, "an item of '" + aKey + "'", aFindings);
    PeerSettings peer;
    peer.host = HostId(map.RequiredText("host"));
    peer.messageAddress = Address(map, "message_address", aFindings);
    peer.publicKey = aRequiresKey ? map.RequiredText("public_key")
                                  : map.Text("public_key", "");
    CheckPublicKey(peer.publicKey, map.PositionOfKey("public_key"), aFindings);
    map.Finish();
    for (const PeerSettings& other : peers) {
      if (other.host == peer.host) {
        aFindings.Add(PositionOf(item),
                      "host '" + peer.host.Value() + "' is listed twice in '" +
                        aKey + "'");
      }
    }
    peers.push_back(peer);
  }
  return peers;
}

static KeySettings
Keys(MapReader& aMap, Findings& aFindings)
{
  KeySettings keys;
  const YAML::Node node = aMap.Map("keys");
  if (!node.IsDefined()) {
    aFindings.Add(aMap.PositionOfKey("keys"),
                  "settings must contain 'keys' ('keys: {plaintext: true}' on "
                  "a trusted network)");
    return keys;
  }
  MapReader map(node, "'keys'", aFindings);
  keys.plaintext = map.Flag("plaintext", false);
  if (!keys.plaintext) {
    keys.publicKey = map.RequiredText("public");
    keys.secretKeyFile = map.RequiredText("secret_file");
    CheckPublicKey(keys.publicKey, map.PositionOfKey("public"), aFindings);
  }
  keys.trustedKeys = map.Texts("trusted");
  for (const std::string& key : keys.trustedKeys) {
    CheckPublicKey(key, map.PositionOfKey("trusted"), aFindings);
  }
  map.Finish();
  return keys;
}

static void
ReadAttemptLimits(MapReader& aMap, RoutingSettings& aRouting)
{
  aRouting.retryBudget =
    aMap.Real("retry_budget", aRouting.retryBudget, 0.0, 1.0);
  aRouting.retrySlack =
    aMap.Real("retry_slack", aRouting.retrySlack, 0.0, kMaxRetrySlack);
  const double extra = aMap.Real(
    "extra_attempts", aRouting.extraAttempts.value_or(-1.0), 0.0, 1.0);
  aRouting.extraAttempts = extra < 0.0 ? std::nullopt : std::optional(extra);
}

static RoutingSettings
Routing(MapReader& aMap, Findings& aFindings, Findings& aIgnored)
{
  RoutingSettings routing;
  const YAML::Node node = aMap.Map("routing");
  if (!node.IsDefined()) {
    return routing;
  }
  MapReader map(node, "'routing'", aFindings);
  routing.ejectionThreshold =
    map.Real("ejection_threshold", routing.ejectionThreshold, 2.0, 100.0);
  routing.floor = map.Real("floor", routing.floor, 0.1, 1.0);
  MapReader optional(node, "'routing'", aIgnored);
  ReadAttemptLimits(optional, routing);
  routing.serverBytes = optional.Number(
    "server_bytes", routing.serverBytes, kMinServerBytes, kGibibyte);
  map.MarkAsRead(optional);
  routing.sharesOutcomes = map.Flag("shares_beliefs", routing.sharesOutcomes);
  routing.domainCost = map.Real("domain_cost", routing.domainCost, 0.0, 10.0);
  routing.regionCost = map.Real("region_cost", routing.regionCost, 0.0, 10.0);
  routing.connectTimeout = map.Span("connect_timeout", routing.connectTimeout);
  routing.maxLocalWait = map.Span("stays_near", routing.maxLocalWait);
  routing.requestTimeout = map.Span("request_timeout", routing.requestTimeout);
  routing.attemptTimeout = map.Span("attempt_timeout", routing.attemptTimeout);
  routing.queueTimeout = map.Span("queue_timeout", routing.queueTimeout);
  routing.idleLifetime = map.Span("idle_lifetime", routing.idleLifetime);
  map.Finish();
  if (routing.attemptTimeout > routing.requestTimeout) {
    aFindings.Add(PositionOf(node),
                  "'attempt_timeout' must not exceed 'request_timeout'");
  }
  return routing;
}

// Limits whose defaults keep every promise.
static void
ReadOptionalLimits(MapReader& aMap, LimitSettings& aLimits)
{
  aLimits.writeTimeout = aMap.Span("write_timeout", aLimits.writeTimeout);
  aLimits.bufferedBytes = aMap.Number("buffered_bytes",
                                      aLimits.bufferedBytes,
                                      kMinBufferedBytes,
                                      1024 * kGibibyte);
}

static LimitSettings
Limits(MapReader& aMap, Findings& aFindings, Findings& aIgnored)
{
  LimitSettings limits;
  const YAML::Node node = aMap.Map("limits");
  if (!node.IsDefined()) {
    return limits;
  }
  MapReader map(node, "'limits'", aFindings);
  limits.requestBodyBytes =
    map.Number("request_body_bytes", limits.requestBodyBytes, 0, kGibibyte);
  limits.responseBodyBytes =
    map.Number("answer_body_bytes", limits.responseBodyBytes, 1, kGibibyte);
  limits.headerBytes =
    map.Number("header_bytes", limits.headerBytes, 1024, 1 << 20);
  limits.callerConnections =
    map.Number("caller_connections", limits.callerConnections, 1, 1'000'000);
  limits.headerTimeout = map.Span("header_timeout", limits.headerTimeout);
  limits.idleTimeout = map.Span("idle_timeout", limits.idleTimeout);
  MapReader optional(node, "'limits'", aIgnored);
  ReadOptionalLimits(optional, limits);
  map.MarkAsRead(optional);
  map.Finish();
  return limits;
}

static LedgerSettings
Ledger(MapReader& aMap, Findings& aFindings)
{
  LedgerSettings ledger;
  const YAML::Node node = aMap.Map("ledger");
  if (!node.IsDefined()) {
    return ledger;
  }
  MapReader map(node, "'ledger'", aFindings);
  ledger.groups = map.Number("groups", ledger.groups, 0, 64);
  ledger.bytes = map.Number("bytes", ledger.bytes, 1 << 20, 1024 * kGibibyte);
  ledger.storedResponseBytes =
    map.Number("answer_bytes", ledger.storedResponseBytes, 0, 1 << 20);
  ledger.retention = map.Span("retention", ledger.retention);
  map.Finish();
  return ledger;
}

static GroupSettings
Group(MapReader& aMap, Findings& aFindings)
{
  GroupSettings group;
  const YAML::Node node = aMap.Map("group");
  if (!node.IsDefined()) {
    return group;
  }
  MapReader map(node, "'group'", aFindings);
  group.mayBootstrap = map.Flag("may_found", group.mayBootstrap);
  group.openMembership = map.Flag("open_membership", group.openMembership);
  group.electionTimeout = map.Span("election_timeout", group.electionTimeout);
  group.heartbeatInterval =
    map.Span("heartbeat_interval", group.heartbeatInterval);
  group.serverLifetime = map.Span("server_lifetime", group.serverLifetime);
  map.Finish();
  if (2 * group.heartbeatInterval > group.electionTimeout) {
    aFindings.Add(PositionOf(node),
                  "'election_timeout' must be at least twice "
                  "'heartbeat_interval'");
  }
  return group;
}

// Reads the machines of a fleet of which only the addresses are known. A
// control host and an entry host may run on each of them, with the same ports
// on all machines.
static void
ReadSeedMachines(MapReader& aMap, Settings& aSettings, Findings& aFindings)
{
  const YAML::Node node = aMap.Map("seed_machines");
  if (!node.IsDefined()) {
    return;
  }
  MapReader map(node, "'seed_machines'", aFindings);
  const std::uint64_t entry = map.Number("entry_port", 0, 1, 65535);
  const std::uint64_t control = map.Number("control_port", 0, 1, 65535);
  for (const std::string& address : map.Texts("addresses")) {
    if (!IsAddress(address)) {
      aFindings.Add(map.PositionOfKey("addresses"),
                    "'" + address + "' is not an IPv4 address and a port");
      continue;
    }
    aSettings.controlHosts.push_back(PeerAtPort(address, control));
    aSettings.seeds.push_back(PeerAtPort(address, entry));
  }
  map.Finish();
}

static std::map<std::string, std::string>
Regions(MapReader& aMap, Findings& aFindings)
{
  std::map<std::string, std::string> regions;
  for (const YAML::Node& item : aMap.Items("failure_domains")) {
    MapReader map(item, "an item of 'failure_domains'", aFindings);
    regions[map.RequiredText("name")] = map.RequiredText("region");
    map.Finish();
  }
  return regions;
}

static ExternalApiKind
ReadExternalApiKind(MapReader& aMap, Findings& aFindings)
{
  const std::string text = aMap.Text("interface", "own");
  if (text != "own" && text != "platform") {
    aFindings.Add(aMap.PositionOfKey("interface"),
                  "'interface' must be 'own' or 'platform'");
  }
  return text == "platform" ? ExternalApiKind::kPlatform
                            : ExternalApiKind::kNative;
}

static Role
ReadRole(MapReader& aMap, Findings& aFindings)
{
  const std::string role = aMap.RequiredText("role");
  if (role != "entry" && role != "control" && !role.empty()) {
    aFindings.Add(aMap.PositionOfKey("role"),
                  "'role' must be 'entry' or 'control'");
  }
  return role == "control" ? Role::kControl : Role::kEntry;
}

// Without a setting, a stop is safe only if it counts on the shortest time in
// which it can succeed, and breaks nothing off before the longest.
static GracePeriod
UnknownGracePeriod(const Settings& aSettings)
{
  if (aSettings.role == Role::kControl) {
    return kUnknownControlGracePeriod;
  }
  const Duration withdrawn = aSettings.addressLifetime + kLeavePropagationTime;
  return { withdrawn + kStopMargin,
           withdrawn + aSettings.routing.requestTimeout + kStopMargin };
}

// The settings without which a daemon is better than no daemon, beside those of
// 'routing'.
struct OptionalSettings
{
  double linkMbps = 0.0;
  std::optional<Duration> keyLease;
  double memoryMb = 0.0;
  std::optional<Duration> gracePeriod;
  SourcePosition gracePeriodPosition;
};

static void
ReadOptionalSettings(MapReader& aMap, OptionalSettings& aOptional)
{
  aOptional.linkMbps =
    aMap.Real("link_mbps", aOptional.linkMbps, 0.0, kMaxLinkMbps);
  const Duration lease = aMap.Span("key_lease", Duration::zero());
  if (lease != Duration::zero()) {
    aOptional.keyLease = lease;
  }
  aOptional.memoryMb =
    aMap.Real("memory_mb", aOptional.memoryMb, kMinMemoryMb, kMaxMemoryMb);
  const Duration grace = aMap.Span("grace_period", Duration::zero());
  if (grace != Duration::zero()) {
    aOptional.gracePeriod = grace;
    aOptional.gracePeriodPosition = aMap.PositionOfKey("grace_period");
  }
}

static bool
IsOptional(const std::string& aKey)
{
  return aKey == "extra_attempts" || aKey == "grace_period" ||
         aKey == "key_lease" || aKey == "link_mbps" || aKey == "memory_mb" ||
         aKey == "retry_budget" || aKey == "retry_slack";
}

static std::string
KeyOf(const YAML::Node& aLine)
{
  return aLine.begin()->first.Scalar();
}

// Adds the lines after the document that hold none of the optional settings.
// Someone appended them to the file.
static void
AppendLines(const std::vector<YAML::Node>& aLines, YAML::Node& aDocument)
{
  for (const YAML::Node& line : aLines) {
    if (!IsOptional(KeyOf(line))) {
      aDocument.force_insert(line.begin()->first, line.begin()->second);
    }
  }
}

// Reports keys that no reader of the document asked for, and keeps Finish()
// from reporting them as errors: a later build may have further optional
// settings.
static void
IgnoreUnknownLines(const std::vector<YAML::Node>& aLines,
                   MapReader& aDocument,
                   Findings& aIgnored)
{
  for (const YAML::Node& line : aLines) {
    const std::string key = KeyOf(line);
    if (!IsOptional(key) && !aDocument.IsKnown(key)) {
      aIgnored.Add(PositionOf(line), "unknown key '" + key + "'");
      aDocument.Has(key);
    }
  }
}

// Reads the optional settings of the document and those after it, which go
// first. Findings are collected in aIgnored: a daemon with a default here is
// better than no daemon.
static OptionalSettings
ReadAllOptionalSettings(MapReader& aDocument,
                        const YAML::Node& aRoot,
                        const std::vector<YAML::Node>& aLines,
                        RoutingSettings& aRouting,
                        Findings& aIgnored)
{
  OptionalSettings optional;
  MapReader document(aRoot, "settings", aIgnored);
  ReadOptionalSettings(document, optional);
  aDocument.MarkAsRead(document);
  std::set<std::string> keys;
  for (const YAML::Node& node : aLines) {
    if (!IsOptional(KeyOf(node))) {
      continue;
    }
    if (!keys.insert(KeyOf(node)).second) {
      aIgnored.Add(PositionOf(node),
                   "'" + KeyOf(node) + "' is defined twice after '---'");
      continue;
    }
    MapReader line(node, "the lines after '---'", aIgnored);
    ReadAttemptLimits(line, aRouting);
    ReadOptionalSettings(line, optional);
  }
  return optional;
}

// The platform chooses its grace period itself; elsewhere, one in which no
// caller's address can expire is a mistake.
static void
SetGracePeriod(const OptionalSettings& aOptional,
               Settings& aSettings,
               Findings& aFindings)
{
  aSettings.isGracePeriodNamed = aOptional.gracePeriod.has_value();
  if (!aOptional.gracePeriod) {
    aSettings.gracePeriod = UnknownGracePeriod(aSettings);
    return;
  }
  aSettings.gracePeriod = *aOptional.gracePeriod;
  const Duration withdrawn = aSettings.addressLifetime + kLeavePropagationTime;
  const bool chosenHere = aSettings.externalApi == ExternalApiKind::kNative;
  if (chosenHere && aSettings.role == Role::kEntry &&
      *aOptional.gracePeriod < withdrawn) {
    aFindings.Add(aOptional.gracePeriodPosition,
                  "'grace_period' must be at least 3s longer than "
                  "'address_lifetime', since callers use an address for that "
                  "long after a stop has begun");
  }
}

static void
SetMemory(const OptionalSettings& aOptional, Settings& aSettings)
{
  aSettings.memoryMb = aOptional.memoryMb;
  if (aSettings.limits.bufferedBytes == 0) {
    aSettings.limits.bufferedBytes = static_cast<std::uint64_t>(
      aOptional.memoryMb * kBytesPerMb * kBufferedShareOfMemory);
  }
}

static void
CheckConsistency(const Settings& aSettings,
                 MapReader& aMap,
                 Findings& aFindings)
{
  if (aSettings.controlHosts.empty()) {
    aFindings.Add(aMap.PositionOfKey("control_hosts"),
                  "settings must list at least one host in 'control_hosts'");
  }
  if (aSettings.role == Role::kControl) {
    bool isListed = false;
    for (const PeerSettings& peer : aSettings.controlHosts) {
      isListed = isListed || peer.host == aSettings.host;
    }
    if (!isListed && !aSettings.group.openMembership) {
      aFindings.Add(aMap.PositionOfKey("host"),
                    "a control host must be listed in 'control_hosts'");
    }
    if (aSettings.dataFolder.empty()) {
      aFindings.Add(aMap.PositionOfKey("data_folder"),
                    "a control host requires 'data_folder'");
    }
  }
  if (aSettings.operatorTokenHash.size() != kSha256HexChars &&
      !aSettings.operatorTokenHash.empty()) {
    aFindings.Add(aMap.PositionOfKey("operator_token_hash"),
                  "'operator_token_hash' must be a SHA-256 of 64 "
                  "hexadecimal digits");
  }
}

} // namespace internal

bool
IsAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || colon + 1 == aText.size()) {
    return false;
  }
  unsigned port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0 ||
      port > 65535) {
    return false;
  }
  int parts = 0;
  const char* cursor = aText.data();
  const char* stop = aText.data() + colon;
  while (cursor != stop) {
    unsigned part = 0;
    const auto read = std::from_chars(cursor, stop, part);
    const bool leadingZero = read.ptr - cursor > 1 && *cursor == '0';
    if (read.ec != std::errc() || part > 255 || leadingZero) {
      return false;
    }
    ++parts;
    cursor = read.ptr;
    if (cursor == stop) {
      break;
    }
    if (*cursor != '.' || cursor + 1 == stop) {
      return false;
    }
    ++cursor;
  }
  return parts == 4;
}

PeerSettings
PeerAtPort(const std::string& aAddress, std::uint64_t aPort)
{
  PeerSettings peer;
  peer.messageAddress =
    aAddress.substr(0, aAddress.rfind(':') + 1) + std::to_string(aPort);
  peer.host = HostId(peer.messageAddress);
  return peer;
}

std::vector<std::string>
TrustedKeys(const Settings& aSettings)
{
  std::vector<std::string> keys = aSettings.keys.trustedKeys;
  keys.push_back(aSettings.keys.publicKey);
  for (const PeerSettings& peer : aSettings.controlHosts) {
    keys.push_back(peer.publicKey);
  }
  for (const PeerSettings& peer : aSettings.seeds) {
    keys.push_back(peer.publicKey);
  }
  return keys;
}

Settings
ReadSettings(const std::string& aText, Findings& aFindings, Findings& aIgnored)
{
  Settings settings;
  const SettingsText text = SplitSettings(aText);
  auto root = ParseYaml(text.document, aFindings);
  if (!root) {
    return settings;
  }
  const std::vector<YAML::Node> lines = ParseLines(text, aIgnored);
  if (root->IsMap()) {
    internal::AppendLines(lines, *root);
  }
  MapReader map(*root, "settings", aFindings);
  settings.host = HostId(map.RequiredText("host"));
  settings.role = internal::ReadRole(map, aFindings);
  settings.region = Region(map.RequiredText("region"));
  settings.failureDomain = FailureDomain(map.RequiredText("failure_domain"));
  settings.callerAddress = internal::Address(map, "caller_address", aFindings);
  settings.messageAddress =
    internal::Address(map, "message_address", aFindings);
  settings.readinessAddress =
    internal::OptionalAddress(map, "readiness_address", aFindings);
  settings.directoryAddress =
    internal::OptionalAddress(map, "directory_address", aFindings);
  settings.metricsAddress =
    internal::OptionalAddress(map, "metrics_address", aFindings);
  settings.name = map.Text("name", settings.host.Value());
  settings.externalApi = internal::ReadExternalApiKind(map, aFindings);
  settings.dataFolder = map.Text("data_folder", "");
  settings.operatorTokenHash = map.Text("operator_token_hash", "");
  settings.logLevel = map.Text("log_level", settings.logLevel);
  settings.keys = internal::Keys(map, aFindings);
  const bool requiresKey = !settings.keys.plaintext;
  settings.controlHosts =
    internal::Peers(map, "control_hosts", requiresKey, aFindings);
  settings.seeds = internal::Peers(map, "seeds", requiresKey, aFindings);
  settings.regions = internal::Regions(map, aFindings);
  internal::ReadSeedMachines(map, settings, aFindings);
  settings.group = internal::Group(map, aFindings);
  settings.routing = internal::Routing(map, aFindings, aIgnored);
  settings.limits = internal::Limits(map, aFindings, aIgnored);
  settings.ledger = internal::Ledger(map, aFindings);
  settings.membershipByControl =
    map.Flag("membership_by_control", settings.membershipByControl);
  settings.pullInterval = map.Span("pull_interval", settings.pullInterval);
  settings.minSameDomainAddresses =
    map.Number("nearby_addresses", settings.minSameDomainAddresses, 1, 64);
  settings.sameDomainShare =
    map.Real("nearby_share", settings.sameDomainShare, 0.0, 1.0);
  settings.addressLifetime =
    map.Span("address_lifetime", settings.addressLifetime);
  settings.announcementLifetime =
    map.Span("announcement_lifetime", settings.announcementLifetime);
  const internal::OptionalSettings optional = internal::ReadAllOptionalSettings(
    map, *root, lines, settings.routing, aIgnored);
  settings.linkMbps = optional.linkMbps;
  settings.keyLease = optional.keyLease;
  internal::SetMemory(optional, settings);
  internal::SetGracePeriod(optional, settings, aFindings);
  internal::CheckConsistency(settings, map, aFindings);
  internal::IgnoreUnknownLines(lines, map, aIgnored);
  map.Finish();
  return settings;
}

} // namespace fuchsiaramp
