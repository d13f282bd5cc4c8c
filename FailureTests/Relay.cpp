#include "FailureTests/Relay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <utility>

#include "FailureTests/Process.h"

namespace balsamrack {

namespace {

constexpr int PollTimeoutMs = 20;
constexpr int Backlog = 64;
constexpr std::chrono::milliseconds ReplyDelay{100};

sockaddr_in toSockaddr(const Address &address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.Port);
  inet_pton(AF_INET, address.Ip.c_str(), &raw.sin_addr);
  return raw;
}

// Forwards or drops the received bytes. Returns false if either side has closed
// the connection.
bool forwardBytes(int from, int to, bool drop) {
  std::array<char, 16384> buf{};
  ssize_t n = recv(from, buf.data(), buf.size(), MSG_DONTWAIT);
  if (drop)
    return n != 0;
  for (ssize_t sent = 0; sent < n;) {
    ssize_t part = send(to, buf.data() + sent, n - sent, MSG_NOSIGNAL);
    if (part <= 0)
      return false;
    sent += part;
  }
  return n != 0;
}

// Closes \p fd with a TCP reset.
void closeWithReset(int fd) {
  linger resetOnClose{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
  close(fd);
}

} // namespace

Relay::Relay(const Address &listen, Address target)
    : Target(std::move(target)) {
  Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int enable = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  sockaddr_in address = toSockaddr(listen);
  // If the port were taken, nothing would be forwarded and the test would fail.
  (void)bind(Listener, reinterpret_cast<sockaddr *>(&address), sizeof(address));
  (void)::listen(Listener, Backlog);
  AcceptThread = std::thread([this] { acceptConnections(); });
}

Relay::~Relay() {
  Stopped = true;
  AcceptThread.join();
  std::lock_guard<std::mutex> guard(ThreadsLock);
  for (auto &thread : ConnectionThreads)
    thread.join();
  close(Listener);
}

void Relay::acceptConnections() {
  pollfd ready{Listener, POLLIN, 0};
  while (!Stopped) {
    if (CurrentMode == Mode::Cut) {
      sleepForPollPeriod();
      continue;
    }
    if (poll(&ready, 1, PollTimeoutMs) <= 0)
      continue;
    int from = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    std::lock_guard<std::mutex> guard(ThreadsLock);
    if (from >= 0)
      ConnectionThreads.emplace_back([this, from] { relayConnection(from); });
  }
}

void Relay::relayConnection(int from) {
  int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = toSockaddr(Target);
  bool open =
      connect(to, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
  while (open && !Stopped && CurrentMode != Mode::Resetting) {
    if (CurrentMode == Mode::Cut) {
      sleepForPollPeriod();
      continue;
    }
    std::array<pollfd, 2> ready{{{from, POLLIN, 0}, {to, POLLIN, 0}}};
    poll(ready.data(), ready.size(), PollTimeoutMs);
    if (ready[0].revents != 0)
      open = forwardBytes(from, to, false);
    if (open && ready[1].revents != 0) {
      if (CurrentMode == Mode::RepliesDelayed)
        std::this_thread::sleep_for(ReplyDelay);
      open = forwardBytes(to, from, CurrentMode == Mode::RepliesLost);
    }
  }
  if (CurrentMode == Mode::Resetting)
    closeWithReset(from);
  else
    close(from);
  close(to);
}

} // namespace balsamrack
