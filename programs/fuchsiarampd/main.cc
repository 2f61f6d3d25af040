// fuchsiarampd: the daemon, which runs as an entry host or as a control host,
// depending on its settings.
//
// Exit codes: 0 after a graceful stop, 1 when the daemon could not start or
// storage failed, 2 for invalid settings or an invalid command line.
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tclap/CmdLine.h>

#include "base/findings.h"
#include "net/control_service.h"
#include "net/entry_service.h"
#include "net/native_api.h"
#include "platform_api.h"
#include "settings/settings.h"

namespace fuchsiaramp {

static constexpr int kExitFailed = 1;
static constexpr int kExitUsage = 2;
static constexpr auto kSettingsPollInterval = std::chrono::seconds(2);

static bool
ReadFile(const std::string& aPath, std::string& aText)
{
  std::ifstream file(aPath, std::ios::binary);
  aText.assign(std::istreambuf_iterator<char>(file), {});
  return file.good() || file.eof();
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

// Reads the settings; prints findings to standard error.
static std::optional<Settings>
LoadSettings(const std::string& aFile)
{
  std::string text;
  if (!ReadFile(aFile, text)) {
    std::cerr << aFile << ": cannot be read\n";
    return std::nullopt;
  }
  Findings findings(aFile);
  Settings settings = ReadSettings(text, findings);
  if (!findings.IsEmpty()) {
    std::cerr << findings.Text();
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
  boost::asio::signal_set signals(aIo, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& aError, int) {
    if (!aError) {
      aService.Leave();
    }
  });
  const SettingsWatcher watch(
    aIo, aSettingsFile, [&](const Settings& aNew) { aService.Reload(aNew); });
  aIo.run();
}

// Ends the process without destroying the service. Nothing durable depends on
// its destructors, and threads of libraries may hold them up for seconds.
[[noreturn]] static void
EndProcess(int aExitCode)
{
  std::cout.flush();
  std::cerr.flush();
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
    std::cerr << "event=start_failed data_folder=" << aSettings.dataFolder
              << " error=\"" << error.message()
              << "\" action=\"empty the data folder; the host then rejoins as "
                 "a new member\"\n";
    return kExitFailed;
  }
  RunUntilStopped(aIo, service, aSettingsFile);
  if (service.FatalError()) {
    std::cerr << "event=storage_failed error=\""
              << service.FatalError().message() << "\"\n";
    EndProcess(kExitFailed);
  }
  EndProcess(0);
}

static int
Run(const std::string& aSettingsFile)
{
  const auto loaded = LoadSettings(aSettingsFile);
  if (!loaded) {
    return kExitUsage;
  }
  const Settings& settings = *loaded;
  std::string secretKey;
  if (!ReadSecretKey(settings, secretKey)) {
    std::cerr
      << settings.keys.secretKeyFile
      << ": must contain a secret key of 40 characters; generate one with "
         "'fuchsiaramp keys'\n";
    return kExitUsage;
  }
  boost::asio::io_context io(1);
  try {
    return settings.role == Role::kEntry
             ? RunEntry(io, settings, aSettingsFile, secretKey)
             : RunControl(io, settings, aSettingsFile, secretKey);
  } catch (const std::exception& error) {
    std::cerr << "event=start_failed caller_address=" << settings.callerAddress
              << " message_address=" << settings.messageAddress << " error=\""
              << error.what() << "\"\n";
    return kExitFailed;
  }
}

} // namespace fuchsiaramp

int
main(int aCount, char** aArguments)
{
  // Until the settings are watched, a request to reload them has no effect.
  std::signal(SIGHUP, SIG_IGN);
  std::string settingsFile;
  try {
    TCLAP::CmdLine line("The fuchsiaramp daemon.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> file(
      "s", "settings", "Settings file of this host.", true, "", "FILE", line);
    line.setExceptionHandling(false);
    line.parse(aCount, aArguments);
    settingsFile = file.getValue();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << ' ' << error.argId() << '\n';
    return fuchsiaramp::kExitUsage;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
  return fuchsiaramp::Run(settingsFile);
}
