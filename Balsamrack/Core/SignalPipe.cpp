#include "Balsamrack/Core/SignalPipe.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>

namespace balsamrack {

namespace {

constexpr int64_t MicrosPerMilli = 1000;

/// Descriptor that the signal handler writes to; -1 if there is none.
std::atomic<int> SignalWriteEnd{-1};

extern "C" void writeSignal(int signal) {
  int savedErrno = errno;
  auto byte = static_cast<uint8_t>(signal);
  // A full pipe is ignored: it already contains signals to process.
  (void)!write(SignalWriteEnd.load(), &byte, 1);
  errno = savedErrno;
}

} // namespace

absl::StatusOr<std::unique_ptr<SignalPipe>>
SignalPipe::create(std::initializer_list<int> signals) {
  int pipeEnds[2];
  if (SignalWriteEnd.load() >= 0 ||
      pipe2(pipeEnds, O_NONBLOCK | O_CLOEXEC) != 0)
    return absl::InternalError("cannot install the signal handlers");
  SignalWriteEnd = pipeEnds[1];
  struct sigaction action {};
  action.sa_handler = writeSignal;
  action.sa_flags = SA_RESTART;
  for (int signal : signals)
    sigaction(signal, &action, nullptr);
  return std::unique_ptr<SignalPipe>(new SignalPipe(pipeEnds[0], pipeEnds[1]));
}

SignalPipe::~SignalPipe() {
  SignalWriteEnd = -1;
  close(ReadEnd);
  close(WriteEnd);
}

int SignalPipe::wait(Duration timeout) {
  pollfd polled{ReadEnd, POLLIN, 0};
  // A signal may end poll() early, by interrupting this thread or by its byte
  // in the pipe.
  poll(&polled, 1, static_cast<int>(timeout.count() / MicrosPerMilli));
  uint8_t signal = 0;
  return read(ReadEnd, &signal, 1) == 1 ? signal : 0;
}

} // namespace balsamrack
