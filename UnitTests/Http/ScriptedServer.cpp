#include "UnitTests/Http/ScriptedServer.h"

#include <sys/socket.h>
#include <utility>

namespace balsamrack {

ScriptedServer::ScriptedServer(Script script)
    : Socket(ListenSocket::open({"127.0.0.1", 0}).value()),
      RunScript(std::move(script)), Acceptor([this] { run(); }) {}

ScriptedServer::~ScriptedServer() {
  Stopping = true;
  ::shutdown(Socket.fd(), SHUT_RDWR);
  Acceptor.join();
  for (auto &interrupt : Interrupters)
    interrupt();
  for (std::thread &t : ScriptThreads)
    t.join();
}

void ScriptedServer::run() {
  while (!Stopping) {
    RawConnection c = RawConnection::acceptOn(Socket.fd());
    if (!c.isOpen())
      continue;
    Interrupters.push_back(c.interrupter());
    int number = ++Accepted;
    ScriptThreads.emplace_back(
        [this, number, connection = std::move(c)]() mutable {
          RunScript(std::move(connection), number);
        });
  }
}

std::string httpAnswer(const std::string &statusAndHeaders,
                       const std::string &body) {
  return "HTTP/1.1 " + statusAndHeaders +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

} // namespace balsamrack
