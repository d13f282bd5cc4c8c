// balsamrackd: the daemon of an entry VM. A thin main function over the
// library.

#include <csignal>
#include <iostream>

#include <cxxopts.hpp>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Daemon/Daemon.h"

namespace balsamrack {
namespace {

/// Exit codes, documented by --help.
constexpr int Good = 0;
constexpr int Failed = 1;
constexpr int BadSettings = 2;

cxxopts::Options options() {
  cxxopts::Options all(
      "balsamrackd",
      "The daemon of a balsamrack entry VM.\n"
      "Exit codes: 0 good, 1 it could not start or requests were cut at\n"
      "shutdown, 2 the command line or the settings are wrong.\n"
      "SIGTERM or SIGINT: graceful shutdown. SIGHUP is ignored: settings hold "
      "for one run, everything else comes by ticket.\n");
  all.add_options()("settings", "settings file (JSON)",
                    cxxopts::value<std::string>())(
      "check-settings", "check the settings file and exit")(
      "print-schema", "print the JSON schema of the settings and exit")(
      "version", "print the version")("h,help", "print this help");
  return all;
}

/// Runs until a signal requests shutdown.
int serve(const Settings &settings, const sigset_t &signals) {
  SystemClock clock;
  auto daemon = Daemon::create(settings, clock);
  if (!daemon.ok()) {
    std::cerr << "balsamrackd: " << describe(daemon.status()) << "\n";
    return Failed;
  }
  int signal = 0;
  do
    sigwait(&signals, &signal);
  while (signal == SIGHUP);
  return (*daemon)->shutDown() ? Good : Failed;
}

int run(int argc, char **argv) {
  const cxxopts::ParseResult parsed = options().parse(argc, argv);
  if (parsed.count("help")) {
    std::cout << options().help();
    return Good;
  }
  if (parsed.count("version")) {
    std::cout << "balsamrackd " << BALSAMRACK_VERSION << "\n";
    return Good;
  }
  if (parsed.count("print-schema")) {
    std::cout << settingsSchema() << "\n";
    return Good;
  }
  if (!parsed.count("settings")) {
    std::cerr << "balsamrackd: --settings FILE is missing; see --help\n";
    return BadSettings;
  }
  auto settings = readSettings(parsed["settings"].as<std::string>());
  if (!settings.ok()) {
    std::cerr << "balsamrackd: " << describe(settings.status()) << "\n";
    return BadSettings;
  }
  for (const SettingsFault &it : settings->Faults)
    std::cerr << it.str() << "\n";
  if (!settings->Faults.empty())
    return BadSettings;
  if (parsed.count("check-settings")) {
    std::cout << "settings are good\n";
    return Good;
  }

  // All threads inherit the signal mask, so only sigwait() receives these
  // signals.
  sigset_t signals;
  sigemptyset(&signals);
  for (int it : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&signals, it);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return serve(settings->Values, signals);
}

} // namespace
} // namespace balsamrack

int main(int argc, char **argv) {
  // cxxopts reports invalid usage by exceptions.
  try {
    return balsamrack::run(argc, argv);
  } catch (const std::exception &error) {
    std::cerr << "balsamrackd: " << error.what() << "; see --help\n";
    return balsamrack::BadSettings;
  }
}
