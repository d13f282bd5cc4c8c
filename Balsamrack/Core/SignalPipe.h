#ifndef BALSAMRACK_CORE_SIGNALPIPE_H
#define BALSAMRACK_CORE_SIGNALPIPE_H

#include <initializer_list>
#include <memory>

#include "Balsamrack/Core/Time.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Converts signals into bytes of a pipe (self-pipe), so that a signal that
/// arrives while its thread is busy is found by the next wait. At most one
/// object per process. Not thread-safe.
///
/// No thread blocks the signals, so that a process asked to stop while it reads
/// its settings still notices. The handler may run on any thread. System calls
/// are restarted, except for waits, whose callers all check their conditions
/// and wait again.
class SignalPipe {
public:
  /// Installs handlers for \p signals in the whole process. Returns kInternal
  /// if the system call fails or an object already exists.
  static absl::StatusOr<std::unique_ptr<SignalPipe>>
  create(std::initializer_list<int> signals);
  SignalPipe(const SignalPipe &) = delete;
  SignalPipe &operator=(const SignalPipe &) = delete;
  ~SignalPipe();

  /// Returns the next signal, or zero if none arrives within \p timeout.
  int wait(Duration timeout);

private:
  SignalPipe(int readEnd, int writeEnd)
      : ReadEnd(readEnd), WriteEnd(writeEnd) {}

  const int ReadEnd;
  const int WriteEnd;
};

} // namespace balsamrack

#endif // BALSAMRACK_CORE_SIGNALPIPE_H
