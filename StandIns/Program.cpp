#include "StandIns/Program.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack::standins {

namespace {

sigset_t terminationSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGTERM);
  return set;
}

} // namespace

void prepareSignals() {
  sigset_t set = terminationSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void awaitTerminationSignal() {
  sigset_t set = terminationSignals();
  int which = 0;
  sigwait(&set, &which);
}

cxxopts::ParseResult parseOrExit(cxxopts::Options &options, int argc,
                                 char **argv) {
  options.add_options()("h,help", "print this help");
  // cxxopts reports an invalid command line only by an exception.
  try {
    cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") == 0)
      return parsed;
    std::printf("%s", options.help().c_str());
    std::exit(0);
  } catch (const cxxopts::exceptions::exception &e) {
    std::fprintf(stderr, "%s\n", e.what());
    std::exit(UsageExitCode);
  }
}

Address loopbackAddress(uint16_t port) { return {"127.0.0.1", port}; }

void exitUnlessOk(const absl::Status &status) {
  if (status.ok())
    return;
  std::fprintf(stderr, "%s\n", describe(status).c_str());
  std::exit(StartExitCode);
}

std::string readFileOrExit(const std::string &name) {
  std::ifstream in(name);
  if (!in)
    exitUnlessOk(makeError(absl::StatusCode::kNotFound, Step::ReadSettings,
                           name, "can't be read"));
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

} // namespace balsamrack::standins
