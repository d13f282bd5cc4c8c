#ifndef BALSAMRACK_STANDINS_PROGRAM_H
#define BALSAMRACK_STANDINS_PROGRAM_H

#include <string>

#include "Balsamrack/Core/Address.h"
#include "absl/status/status.h"
#include <cxxopts.hpp>

namespace balsamrack::standins {

/// Exit code for an invalid command line.
constexpr int UsageExitCode = 2;
/// Exit code if a port can't be listened at or a file can't be read.
constexpr int StartExitCode = 3;

/// Blocks SIGINT and SIGTERM, so that awaitTerminationSignal() can receive
/// them, and ignores SIGPIPE. Precondition: no thread was started yet.
void prepareSignals();

/// Waits for SIGINT or SIGTERM. Precondition: prepareSignals was called.
void awaitTerminationSignal();

/// Parses the command line. Prints help or an error and exits if there is
/// nothing to run. Precondition: no thread was started yet.
cxxopts::ParseResult parseOrExit(cxxopts::Options &options, int argc,
                                 char **argv);

/// Returns the loopback address with \p port. Thread-safe.
Address loopbackAddress(uint16_t port);

/// Prints \p status to stderr and exits unless it is ok.
void exitUnlessOk(const absl::Status &status);

/// Returns the contents of file \p name; exits if it can't be read.
std::string readFileOrExit(const std::string &name);

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_PROGRAM_H
