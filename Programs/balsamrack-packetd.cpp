// balsamrack-packetd: the packet daemon of an entry VM. A thin main function
// over the library and the platform folder.

#include <csignal>
#include <iostream>
#include <memory>

#include <cxxopts.hpp>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Core/SignalPipe.h"
#include "Balsamrack/Daemon/PacketDaemon.h"
#include "platform/EchoPackets.h"
#include "platform/StoreReader.h"

namespace balsamrack {
namespace {

/// Exit codes, documented by --help.
constexpr int Good = 0;
constexpr int Failed = 1;
constexpr int BadSettings = 2;

/// Time between checks of the settings file, which may change without a signal.
constexpr Duration FileCheckPeriod{1'000'000};
/// Delay before another attempt to start.
constexpr Duration StartRetryDelay{200'000};
constexpr int StandardOutput = 1;

cxxopts::Options options() {
  cxxopts::Options all(
      "balsamrack-packetd",
      "The daemon of a balsamrack entry VM on a packet carrier.\n"
      "Exit codes: 0 good, 1 it could not start, 2 the command line is wrong,\n"
      "or the settings are (with --check-settings).\n"
      "SIGTERM or SIGINT: graceful shutdown. SIGHUP: the settings file is "
      "read\n"
      "again, as it is when it changes.\n");
  all.add_options()("settings", "settings file (JSON)",
                    cxxopts::value<std::string>())(
      "check-settings", "check the settings file and exit")(
      "print-schema", "print the JSON schema of the settings and exit")(
      "version", "print the version")("h,help", "print this help");
  return all;
}

/// The settings file, which is read repeatedly. Invalid content never replaces
/// valid content.
class SettingsFile {
public:
  SettingsFile(std::string path, EventLog &log)
      : Path(std::move(path)), Log(log) {}

  /// Reads the file; true when it has new, valid content.
  bool readIfChanged() {
    auto text = readSettingsText(Path);
    if (!text.ok()) {
      reportUnreadable("", std::string(text.status().message()));
      return false;
    }
    if (*text == Text)
      return false;
    Text = *text;
    PacketSettingsResult parsed = parsePacketSettings(Text);
    for (const SettingsFault &fault : parsed.Faults)
      Log.write(LogLine(Component::Daemon, Severity::Error, "bad-settings")
                    .text("file", Path)
                    .text("fault", fault.str()));
    if (!parsed.Faults.empty())
      return false;
    Values = parsed.Values;
    LastReadError.clear();
    return true;
  }
  const PacketSettings &values() const { return Values; }

private:
  /// Logs an error once, not at each attempt.
  void reportUnreadable(const std::string &text, const std::string &error) {
    if (error == LastReadError)
      return;
    Text = text;
    LastReadError = error;
    Log.write(LogLine(Component::Daemon, Severity::Error, "settings-unreadable")
                  .text("file", Path)
                  .text("error", error));
  }

  const std::string Path;
  EventLog &Log;
  std::string Text;
  std::string LastReadError;
  PacketSettings Values;
};

bool isTerminationSignal(int signal) {
  return signal == SIGTERM || signal == SIGINT;
}

int serve(const std::string &path, SignalPipe &signals) {
  SystemClock clock;
  auto log = EventLog::create(EventLogSettings(), StandardOutput, clock);
  log->write(LogLine(Component::Daemon, Severity::Info, "started")
                 .text("version", BALSAMRACK_VERSION));
  // An invalid file at startup is not fatal: a restart would only find the same
  // file.
  SettingsFile file(path, *log);
  while (!file.readIfChanged())
    if (isTerminationSignal(signals.wait(FileCheckPeriod)))
      return Good;
  const PacketSettings settings = file.values();
  platform::EchoPackets codec;
  auto source = platform::StoreReader::create(settings.PublishedAddress);
  if (!source.ok()) {
    std::cerr << "balsamrack-packetd: " << describe(source.status()) << "\n";
    return Failed;
  }
  auto daemon = PacketDaemon::create(settings, {codec, **source, clock, *log});
  // The previous run may still hold an address for a moment. A restart would
  // only repeat the same attempt later.
  while (!daemon.ok()) {
    log->write(LogLine(Component::Daemon, Severity::Error, "not-started")
                   .text("error", describe(daemon.status())));
    if (isTerminationSignal(signals.wait(StartRetryDelay)))
      return Good;
    daemon = PacketDaemon::create(settings, {codec, **source, clock, *log});
  }
  for (int signal = 0; !isTerminationSignal(signal);
       signal = signals.wait(FileCheckPeriod))
    if (file.readIfChanged())
      (*daemon)->reload(file.values());
  (*daemon)->shutDown();
  return Good;
}

int checkSettings(const std::string &path) {
  auto text = readSettingsText(path);
  if (!text.ok()) {
    std::cerr << "balsamrack-packetd: " << describe(text.status()) << "\n";
    return BadSettings;
  }
  PacketSettingsResult parsed = parsePacketSettings(*text);
  for (const SettingsFault &it : parsed.Faults)
    std::cerr << it.str() << "\n";
  if (!parsed.Faults.empty())
    return BadSettings;
  std::cout << "settings are good\n";
  return Good;
}

int run(int argc, char **argv) {
  const cxxopts::ParseResult parsed = options().parse(argc, argv);
  if (parsed.count("help")) {
    std::cout << options().help();
    return Good;
  }
  if (parsed.count("version")) {
    std::cout << "balsamrack-packetd " << BALSAMRACK_VERSION << "\n";
    return Good;
  }
  if (parsed.count("print-schema")) {
    std::cout << packetSettingsSchema() << "\n";
    return Good;
  }
  if (!parsed.count("settings")) {
    std::cerr << "balsamrack-packetd: --settings FILE is missing; see --help\n";
    return BadSettings;
  }
  std::string path = parsed["settings"].as<std::string>();
  if (parsed.count("check-settings"))
    return checkSettings(path);

  auto signals = SignalPipe::create({SIGTERM, SIGINT, SIGHUP});
  if (!signals.ok()) {
    std::cerr << "balsamrack-packetd: " << describe(signals.status()) << "\n";
    return Failed;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return serve(path, **signals);
}

} // namespace
} // namespace balsamrack

int main(int argc, char **argv) {
  // cxxopts reports invalid usage by exceptions.
  try {
    return balsamrack::run(argc, argv);
  } catch (const std::exception &error) {
    std::cerr << "balsamrack-packetd: " << error.what() << "; see --help\n";
    return balsamrack::BadSettings;
  }
}
