// fuchsiarampd: the daemon, which runs as an entry host or as a control host,
// depending on its settings.
//
// Exit codes: 0 after a graceful stop, 1 when the daemon could not start or
// storage failed, 2 for invalid settings or an invalid command line.
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <system_error>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <google/protobuf/stubs/logging.h>
#include <tclap/CmdLine.h>

#include "base/findings.h"
#include "base/invariant.h"
#include "net/control_service.h"
#include "net/entry_service.h"
#include "net/monotonic.h"
#include "net/native_api.h"
#include "net/stop_signal.h"
#include "observe/event_log.h"
#include "observe/log_output.h"
#include "observe/log_rate_limiter.h"
#include "platform_api.h"
#include "settings/settings.h"

namespace fuchsiaramp {

static constexpr int kExitFailed = 1;
static constexpr int kExitUsage = 2;
static constexpr auto kSettingsPollInterval = std::chrono::seconds(2);

// Writes a text that ends with a line break to standard error.
static void
WriteError(std::string aText)
{
  StandardError().Write(std::move(aText));
}

static bool
ReadFile(const std::string& aPath, std::string& aText)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  // Unlike an iterator, this reports a read error as a state of the stream.
  text << file.rdbuf();
  aText = text.str();
  return file.is_open() && !file.bad() && !text.bad();
}

static bool
ReadSecretKey(const Settings& aSettings, std::string& aKey)
{
  if (aSettings.keys.plaintext) {
    return true;
  }
  if (!ReadFile(aSettings.keys.secretKeyFile, aKey)) {
    return false;
  }
  aKey.erase(aKey.find_last_not_of(" \r\n\t") + 1);
  static constexpr std::size_t kKeyCharacters = 40;
  return aKey.size() == kKeyCharacters;
}

static void
WarnOfIgnoredSettings(const std::string& aFile, const Findings& aIgnored)
{
  for (const Finding& finding : aIgnored.All()) {
    const std::string line = std::to_string(finding.position.line);
    WriteError("event=setting_ignored " + FormatField("file", aFile) + ' ' +
               FormatField("line", line) + ' ' +
               FormatField("reason", finding.text) +
               " action=\"correct it; its default holds meanwhile\"\n");
  }
}

// Reads the settings; prints findings to standard error.
static std::optional<Settings>
LoadSettings(const std::string& aFile)
{
  std::string text;
  if (!ReadFile(aFile, text)) {
    WriteError(aFile + ": cannot be read\n");
    return std::nullopt;
  }
  Findings findings(aFile);
  Findings ignored(aFile);
  Settings settings = ReadSettings(text, findings, ignored);
  WarnOfIgnoredSettings(aFile, ignored);
  if (!findings.IsEmpty()) {
    WriteError(findings.Text());
    return std::nullopt;
  }
  return settings;
}

// Reloads the settings on SIGHUP and when the modification time of their file
// changes.
class SettingsWatcher
{
public:
  using ReloadHook = std::function<void(const Settings&)>;

  SettingsWatcher(boost::asio::io_context& aIo,
                  std::string aFile,
                  ReloadHook aReload)
    : m_file(std::move(aFile))
    , m_reload(std::move(aReload))
    , m_signals(aIo, SIGHUP)
    , m_timer(aIo)
    , m_lastModified(LastModified())
  {
    WaitForSignal();
    PollForChange();
  }

private:
  std::filesystem::file_time_type LastModified() const
  {
    std::error_code error;
    const auto time = std::filesystem::last_write_time(m_file, error);
    return error ? std::filesystem::file_time_type() : time;
  }

  // If the new settings are unreadable or invalid, the previous ones stay in
  // force.
  void Reload()
  {
    m_lastModified = LastModified();
    if (const auto settings = LoadSettings(m_file)) {
      m_reload(*settings);
    }
  }

  void WaitForSignal()
  {
    m_signals.async_wait([this](const boost::system::error_code& aError, int) {
      if (!aError) {
        Reload();
        WaitForSignal();
      }
    });
  }

  void PollForChange()
  {
    m_timer.expires_after(kSettingsPollInterval);
    m_timer.async_wait([this](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      if (LastModified() != m_lastModified) {
        Reload();
      }
      PollForChange();
    });
  }

  std::string m_file;
  ReloadHook m_reload;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  std::filesystem::file_time_type m_lastModified;
};

// Runs a service until it has shut down after SIGTERM or SIGINT.
template<class Service>
static void
RunUntilStopped(boost::asio::io_context& aIo,
                Service& aService,
                const std::string& aSettingsFile)
{
  const StopSignal stop(
    aIo, [&](TimePoint aArrivedAt) { aService.Leave(aArrivedAt); });
  const SettingsWatcher watch(
    aIo, aSettingsFile, [&](const Settings& aNew) { aService.Reload(aNew); });
  aIo.run();
}

// Ends the process without destroying the service. Nothing durable depends on
// its destructors, and threads of libraries may hold them up for seconds.
[[noreturn]] static void
EndProcess(int aExitCode)
{
  DrainStandardStreams();
  std::_Exit(aExitCode);
}

static ExternalApi
MakeExternalApi(const Settings& aSettings)
{
  return aSettings.externalApi == ExternalApiKind::kPlatform
           ? PlatformApi(aSettings)
           : NativeApi(aSettings);
}

static int
RunEntry(boost::asio::io_context& aIo,
         const Settings& aSettings,
         const std::string& aSettingsFile,
         const std::string& aSecretKey)
{
  EntryService service(
    aIo, aSettings, aSecretKey, MakeExternalApi(aSettings).entry);
  RunUntilStopped(aIo, service, aSettingsFile);
  EndProcess(0);
}

static int
RunControl(boost::asio::io_context& aIo,
           const Settings& aSettings,
           const std::string& aSettingsFile,
           const std::string& aSecretKey)
{
  std::error_code error;
  ControlService service(
    aIo, aSettings, aSecretKey, MakeExternalApi(aSettings).control, error);
  if (error) {
    WriteError("event=start_failed " +
               FormatField("data_folder", aSettings.dataFolder) + ' ' +
               FormatField("error", error.message()) +
               " action=\"empty the data folder; the host then rejoins as a "
               "new member\"\n");
    return kExitFailed;
  }
  RunUntilStopped(aIo, service, aSettingsFile);
  if (service.FatalError()) {
    WriteError("event=storage_failed " +
               FormatField("error", service.FatalError().message()) + '\n');
    EndProcess(kExitFailed);
  }
  EndProcess(0);
}

static void
WarnOfUnknownGracePeriod(const Settings& aSettings)
{
  if (aSettings.isGracePeriodNamed) {
    return;
  }
  const auto seconds =
    std::chrono::duration<double>(aSettings.gracePeriod.atLeast).count();
  WriteError("event=grace_period_unknown " +
             FormatField("assumed_s", std::to_string(seconds)) +
             " action=\"set grace_period to the time from SIGTERM to "
             "SIGKILL\"\n");
}

static int
Run(const std::string& aSettingsFile)
{
  const auto loaded = LoadSettings(aSettingsFile);
  if (!loaded) {
    return kExitUsage;
  }
  const Settings& settings = *loaded;
  WarnOfUnknownGracePeriod(settings);
  std::string secretKey;
  if (!ReadSecretKey(settings, secretKey)) {
    WriteError(
      settings.keys.secretKeyFile +
      ": must contain a secret key of 40 characters; generate one with "
      "'fuchsiaramp keys'\n");
    return kExitUsage;
  }
  boost::asio::io_context io(1);
  try {
    return settings.role == Role::kEntry
             ? RunEntry(io, settings, aSettingsFile, secretKey)
             : RunControl(io, settings, aSettingsFile, secretKey);
  } catch (const std::exception& error) {
    WriteError("event=start_failed " +
               FormatField("caller_address", settings.callerAddress) + ' ' +
               FormatField("message_address", settings.messageAddress) + ' ' +
               FormatField("error", error.what()) + '\n');
    return kExitFailed;
  }
}

[[noreturn]] static void
Abort(const std::string& aText)
{
  WriteError(aText + '\n');
  DrainStandardStreams();
  std::abort();
}

[[noreturn]] static void
OnTerminate()
{
  std::string cause = "none";
  try {
    if (const auto exception = std::current_exception()) {
      std::rethrow_exception(exception);
    }
  } catch (const std::exception& error) {
    cause = error.what();
  } catch (...) {
    cause = "unknown";
  }
  Abort("event=terminated " + FormatField("exception", cause));
}

static void
OnProtobufMessage(google::protobuf::LogLevel aLevel,
                  const char* /*aFile*/,
                  int /*aLine*/,
                  const std::string& aText)
{
  static LogRateLimiter limiter{ LogRateLimiterOptions() };
  if (aLevel >= google::protobuf::LOGLEVEL_WARNING &&
      limiter.TryTake("protobuf_message", MonotonicNow())) {
    WriteError("event=protobuf_message " + FormatField("text", aText) + '\n');
  }
}

// What the program and its libraries print never waits for its reader.
static void
InstallHandlers()
{
  // Before other files are opened, which would get the number of a standard
  // descriptor that isn't open.
  StandardError();
  std::signal(SIGPIPE, SIG_IGN);
  // Until the settings are watched, a request to reload them has no effect.
  std::signal(SIGHUP, SIG_IGN);
  SetInvariantHandler([](const std::string& aText) {
    Abort("event=invariant_violated text=\"" + aText + '"');
  });
  std::set_terminate(OnTerminate);
  google::protobuf::SetLogHandler(OnProtobufMessage);
}

} // namespace fuchsiaramp

int
main(int aCount, char** aArguments)
{
  fuchsiaramp::InstallHandlers();
  std::string settingsFile;
  try {
    TCLAP::CmdLine line("The fuchsiaramp daemon.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> file(
      "s", "settings", "Settings file of this host.", true, "", "FILE", line);
    line.setExceptionHandling(false);
    line.parse(aCount, aArguments);
    settingsFile = file.getValue();
  } catch (const TCLAP::ArgException& error) {
    fuchsiaramp::WriteError(error.error() + ' ' + error.argId() + '\n');
    fuchsiaramp::EndProcess(fuchsiaramp::kExitUsage);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
  fuchsiaramp::EndProcess(fuchsiaramp::Run(settingsFile));
}
