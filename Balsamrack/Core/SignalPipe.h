#ifndef BALSAMRACK_CORE_SIGNALPIPE_H
#define BALSAMRACK_CORE_SIGNALPIPE_H

#include <initializer_list>
#include <memory>

#include "Balsamrack/Core/Time.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Turns signals into bytes of a pipe, so that one that comes while its thread
/// is busy is found by the next wait. One object a process. Not thread-safe.
///
/// No thread blocks the signals: one that is asked to end while it reads its
/// settings must hear of it. The handler may run on any thread; system calls
/// are restarted, but for waits, whose callers all look around and wait again.
class SignalPipe {
public:
  /// Takes \p signals over for the whole process. Error kInternal when the
  /// system refuses, or when there is one already.
  static absl::StatusOr<std::unique_ptr<SignalPipe>>
  create(std::initializer_list<int> signals);
  SignalPipe(const SignalPipe &) = delete;
  SignalPipe &operator=(const SignalPipe &) = delete;
  ~SignalPipe();

  /// The next signal, or zero when none comes within \p most.
  int wait(Duration timeout);

private:
  SignalPipe(int readEnd, int writeEnd)
      : ReadEnd(readEnd), WriteEnd(writeEnd) {}

  const int ReadEnd;
  const int WriteEnd;
};

} // namespace balsamrack

#endif // BALSAMRACK_CORE_SIGNALPIPE_H
