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
    Forwarding,     ///< They go through.
    Cut,            ///< They lie until it is healed, as behind a partition.
    RepliesLost,    ///< Requests go through, answers vanish: a one-way cut.
    RepliesDelayed, ///< Answers come a tenth of a second late.
    Resetting,      ///< Connections are reset, open ones and new ones.
  };

  /// Listens at \p listen and passes on to \p to. Precondition: the port is
  /// free.
  Relay(const Address &listen, Address target);
  /// Closes all connections.
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// Stops to pass anything on; connections stay open.
  void cut() { CurrentMode = Mode::Cut; }
  /// Passes on again, also what was sent while it was cut.
  void heal() { CurrentMode = Mode::Forwarding; }
  /// Changes what happens to the bytes.
  void setMode(Mode mode) { CurrentMode = mode; }

private:
  void acceptConnections();
  void relayConnection(int from);

  const Address Target;                            ///< Where connections go.
  int Listener = -1;                               ///< Takes connections.
  std::atomic<Mode> CurrentMode{Mode::Forwarding}; ///< See setMode().
  std::atomic<bool> Stopped{false};                ///< Threads end.
  std::mutex ThreadsLock;                          ///< Guards Passing.
  std::vector<std::thread> ConnectionThreads;      ///< One a connection.
  std::thread AcceptThread;                        ///< Takes connections.
};

} // namespace balsamrack

#endif // BALSAMRACK_FAILURETESTS_RELAY_H
