#ifndef BALSAMRACK_UNITTESTS_HTTP_SCRIPTEDSERVER_H
#define BALSAMRACK_UNITTESTS_HTTP_SCRIPTEDSERVER_H

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

#include "Balsamrack/Core/ListenSocket.h"
#include "UnitTests/Http/RawConnection.h"

namespace balsamrack {

/// A test server on a free port of 127.0.0.1. Each connection is handled by a
/// script on its own thread.
class ScriptedServer {
public:
  using Script = std::function<void(RawConnection connection, int number)>;

  /// Starts to accept connections, which are numbered from 1.
  explicit ScriptedServer(Script script);
  /// Accepts no more connections, interrupts the open ones and waits for the
  /// scripts.
  ~ScriptedServer();

  const Address &at() const { return Socket.address(); }
  /// Connections accepted so far.
  int connections() const { return Accepted; }

private:
  void run();

  ListenSocket Socket;
  const Script RunScript;
  std::atomic<int> Accepted{0};
  std::atomic<bool> Stopping{false};
  std::vector<std::function<void()>> Interrupters; ///< One per connection.
  std::vector<std::thread>
      ScriptThreads; ///< Used only by Acceptor until it ends.
  std::thread Acceptor;
};

/// An HTTP response with a Content-Length.
std::string httpAnswer(const std::string &statusAndHeaders,
                       const std::string &body);

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_HTTP_SCRIPTEDSERVER_H
