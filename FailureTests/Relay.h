#ifndef BALSAMRACK_FAILURETESTS_RELAY_H
#define BALSAMRACK_FAILURETESTS_RELAY_H

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "Balsamrack/Core/Address.h"

namespace balsamrack {

/// The test's own TCP relay between two processes: passes bytes on, or harms
/// them as a network does. Thread-safe.
class Relay {
public:
  /// What happens to the bytes.
  enum class Mode {
    Passes,      ///< They go through.
    Cut,         ///< They lie until it is healed, as behind a partition.
    AnswersLost, ///< Requests go through, answers vanish: a one-way cut.
    Delayed,     ///< Answers come a tenth of a second late.
    Resets,      ///< Connections are reset, open ones and new ones.
  };

  /// Listens at \p listen and passes on to \p to. Precondition: the port is
  /// free.
  Relay(const Address &listen, Address to);
  /// Closes all connections.
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// Stops to pass anything on; connections stay open.
  void cut() { Now = Mode::Cut; }
  /// Passes on again, also what was sent while it was cut.
  void heal() { Now = Mode::Passes; }
  /// Changes what happens to the bytes.
  void setMode(Mode mode) { Now = mode; }

private:
  void accept();
  void pass(int from);

  const Address To;                    ///< Where connections go.
  int Listener = -1;                   ///< Takes connections.
  std::atomic<Mode> Now{Mode::Passes}; ///< See setMode().
  std::atomic<bool> Stopped{false};    ///< Threads end.
  std::mutex Lock;                     ///< Guards Passing.
  std::vector<std::thread> Passing;    ///< One a connection.
  std::thread Accepting;               ///< Takes connections.
};

} // namespace balsamrack

#endif // BALSAMRACK_FAILURETESTS_RELAY_H
