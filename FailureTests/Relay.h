#ifndef BALSAMRACK_FAILURETESTS_RELAY_H
#define BALSAMRACK_FAILURETESTS_RELAY_H

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "Balsamrack/Core/Address.h"

namespace balsamrack {

/// TCP relay between two processes that forwards bytes or simulates network
/// failures. Thread-safe.
class Relay {
public:
  /// What the relay does with bytes and connections.
  enum class Mode {
    Forwarding,     ///< Bytes are forwarded.
    Cut,            ///< Bytes are held back until heal(), as in a partition.
    RepliesLost,    ///< Requests are forwarded, replies are dropped.
    RepliesDelayed, ///< Replies are delayed by 100 ms.
    Resetting,      ///< Open and new connections are reset.
  };

  /// Listens at \p listen and forwards connections to \p target. Precondition:
  /// the port is free.
  Relay(const Address &listen, Address target);
  /// Closes all connections.
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// Stops forwarding; connections stay open.
  void cut() { CurrentMode = Mode::Cut; }
  /// Resumes forwarding, including bytes that were sent during the cut.
  void heal() { CurrentMode = Mode::Forwarding; }
  /// Sets the mode for all connections.
  void setMode(Mode mode) { CurrentMode = mode; }

private:
  void acceptConnections();
  void relayConnection(int from);

  const Address Target;                            ///< Target of connections.
  int Listener = -1;                               ///< Listening socket.
  std::atomic<Mode> CurrentMode{Mode::Forwarding}; ///< See setMode().
  std::atomic<bool> Stopped{false};           ///< Tells the threads to exit.
  std::mutex ThreadsLock;                     ///< Guards ConnectionThreads.
  std::vector<std::thread> ConnectionThreads; ///< One per connection.
  std::thread AcceptThread;                   ///< Accepts connections.
};

} // namespace balsamrack

#endif // BALSAMRACK_FAILURETESTS_RELAY_H
