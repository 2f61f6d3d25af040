// fuchsiarampd: the daemon. Its settings give it the role of an entry host or
// of a control host.
//
// Exit codes: 0 after a graceful stop, 1 when it could not start or storage
// failed, 2 on bad settings or a bad command line.
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include "base/findings.h"
#include "net/control_service.h"
#include "net/entry_service.h"
#include "settings/settings.h"

namespace fuchsiaramp {

static constexpr int kExitFailed = 1;
static constexpr int kExitUsage = 2;

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
  static constexpr std::size_t kKeyLength = 40;
  return aKey.size() == kKeyLength;
}

static int
RunEntry(boost::asio::io_context& aIo,
         const Settings& aSettings,
         const std::string& aSecretKey)
{
  EntryService service(aIo, aSettings, aSecretKey);
  boost::asio::signal_set signals(aIo, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& aError, int) {
    if (!aError) {
      service.Leave();
    }
  });
  aIo.run();
  return 0;
}

static int
RunControl(boost::asio::io_context& aIo,
           const Settings& aSettings,
           const std::string& aSecretKey)
{
  std::error_code error;
  ControlService service(aIo, aSettings, aSecretKey, error);
  if (error) {
    std::cerr << "event=start_failed data_folder=" << aSettings.dataFolder
              << " error=\"" << error.message()
              << "\" action=\"empty the data folder; the host then rejoins as "
                 "a new member\"\n";
    return kExitFailed;
  }
  boost::asio::signal_set signals(aIo, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& aError, int) {
    if (!aError) {
      service.Leave();
    }
  });
  aIo.run();
  if (service.FatalError()) {
    std::cerr << "event=storage_failed error=\""
              << service.FatalError().message() << "\"\n";
    return kExitFailed;
  }
  return 0;
}

static int
Run(const std::string& aSettingsFile)
{
  std::string text;
  if (!ReadFile(aSettingsFile, text)) {
    std::cerr << aSettingsFile << ": cannot be read\n";
    return kExitUsage;
  }
  Findings findings(aSettingsFile);
  const Settings settings = ReadSettings(text, findings);
  if (!findings.IsEmpty()) {
    std::cerr << findings.Text();
    return kExitUsage;
  }
  std::string secretKey;
  if (!ReadSecretKey(settings, secretKey)) {
    std::cerr << settings.keys.secretKeyFile
              << ": must hold a secret key of 40 characters; make one with "
                 "'fuchsiaramp keys'\n";
    return kExitUsage;
  }
  boost::asio::io_context io(1);
  try {
    return settings.role == Role::kEntry ? RunEntry(io, settings, secretKey)
                                         : RunControl(io, settings, secretKey);
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
  std::string settingsFile;
  try {
    TCLAP::CmdLine line("The daemon of fuchsiaramp.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> file(
      "s", "settings", "The settings of this host.", true, "", "FILE", line);
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
