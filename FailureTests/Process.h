#ifndef BALSAMRACK_FAILURETESTS_PROCESS_H
#define BALSAMRACK_FAILURETESTS_PROCESS_H

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// A child process of the test. Ends with it. Not thread-safe.
class Process {
public:
  /// Runs program \p name of the build folder with \p args; its output goes to
  /// file \p log. Error kInternal when it can't be started.
  static absl::StatusOr<std::unique_ptr<Process>>
  start(const std::string &name, const std::vector<std::string> &args,
        const std::string &logPath);
  /// Kills it if it still runs, and waits for its end.
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Sends \p signal. Precondition: its end was not waited for.
  void signal(int signal) const;
  /// True until it has ended.
  bool isRunning();
  /// Its exit code once it has ended within \p limit; minus the signal that
  /// ended it; error kDeadlineExceeded when it still runs.
  absl::StatusOr<int> awaitExit(Duration timeout);
  /// Processor time that it has used so far; zero once it has ended.
  Duration cpuTime() const;

private:
  explicit Process(pid_t pid) : Pid(pid) {}

  const pid_t Pid;     ///< Of the child.
  bool Exited = false; ///< Its end was waited for.
  int ExitCode = 0;    ///< As awaitEnd tells.
};

/// Looks at \p condition every few milliseconds until it holds; false when it
/// doesn't within \p limit.
template <class Condition>
bool awaitUntil(Duration timeout, Condition condition);

/// A TCP port of the loopback addresses that nothing listens at. Outside of the
/// range that the system gives to outgoing connections.
uint16_t findFreePort();

/// Seed of the run: BALSAMRACK_TEST_SEED, or 1. Prints it.
uint64_t testSeed();

/// Waits a few milliseconds, between two looks at a condition.
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
