#ifndef BALSAMRACK_FAILURETESTS_PROCESS_H
#define BALSAMRACK_FAILURETESTS_PROCESS_H

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// A child process of the test, killed when the test process ends. Not
/// thread-safe.
class Process {
public:
  /// Runs program \p name of the build folder with \p args and appends its
  /// output to file \p logPath. Error kNotFound if it is not built, kInternal
  /// if fork() fails.
  static absl::StatusOr<std::unique_ptr<Process>>
  start(const std::string &name, const std::vector<std::string> &args,
        const std::string &logPath);
  /// Kills the process if it still runs and waits for its exit.
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Sends \p signal. Precondition: the process has not been reaped.
  void signal(int signal) const;
  /// Returns true until the process has exited.
  bool isRunning();
  /// Waits for the exit and returns the exit code, or the negated number of the
  /// signal that killed the process. Error kDeadlineExceeded after \p timeout.
  absl::StatusOr<int> awaitExit(Duration timeout);
  /// Returns the CPU time used so far; zero once the process has exited.
  Duration cpuTime() const;

private:
  explicit Process(pid_t pid) : Pid(pid) {}

  const pid_t Pid;     ///< Process id of the child.
  bool Exited = false; ///< The child has been reaped.
  int ExitCode = 0;    ///< Result of awaitExit().
};

/// Polls \p condition every few milliseconds until it holds. Returns false
/// after \p timeout.
template <class Condition>
bool awaitUntil(Duration timeout, Condition condition);

/// Returns a TCP port that nothing listens at, outside the ephemeral port
/// range; 0 if there is none.
uint16_t findFreePort();

/// Returns the seed of the run, BALSAMRACK_TEST_SEED or 1, and prints it.
uint64_t testSeed();

/// Sleeps for the poll period of awaitUntil().
void sleepForPollPeriod();

template <class Condition>
bool awaitUntil(Duration timeout, Condition condition) {
  SystemClock clock;
  TimePoint deadline = clock.now() + timeout;
  while (!condition()) {
    if (clock.now() > deadline)
      return false;
    sleepForPollPeriod();
  }
  return true;
}

} // namespace balsamrack

#endif // BALSAMRACK_FAILURETESTS_PROCESS_H
