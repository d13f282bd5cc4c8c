#ifndef BALSAMRACK_UNITTESTS_HTTP_SCRIPTEDSERVER_H
#define BALSAMRACK_UNITTESTS_HTTP_SCRIPTEDSERVER_H

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

#include "Balsamrack/Core/ListenSocket.h"
#include "UnitTests/Http/RawConnection.h"

namespace balsamrack {

/// A server of a test, on a free port of 127.0.0.1: each connection is handed
/// to a script, on a thread of its own.
class ScriptedServer {
public:
  using Script = std::function<void(RawConnection connection, int number)>;

  /// Starts to accept; connections are numbered from 1.
  explicit ScriptedServer(Script script);
  /// Accepts no more, breaks the connections and waits for the scripts.
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
  std::vector<std::function<void()>> Interrupters; ///< One a connection.
  std::vector<std::thread>
      ScriptThreads; ///< Only touched by Acceptor until it ends.
  std::thread Acceptor;
};

/// An HTTP answer with a Content-Length.
std::string httpAnswer(const std::string &statusAndHeaders,
                       const std::string &body);

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_HTTP_SCRIPTEDSERVER_H
