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

constexpr int PollMs = 20;
constexpr int Backlog = 64;
constexpr std::chrono::milliseconds AnswerDelay{100};

sockaddr_in rawAddress(const Address &at) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(at.Port);
  inet_pton(AF_INET, at.Ip.c_str(), &raw.sin_addr);
  return raw;
}

// Passes on what has come, or drops it; false when either side has closed.
bool passSome(int from, int to, bool drop) {
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

// Closes \p fd so that its peer sees a reset.
void closeByReset(int fd) {
  linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(fd);
}

} // namespace

Relay::Relay(const Address &listen, Address to) : To(std::move(to)) {
  Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int yes = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in at = rawAddress(listen);
  // The port is free; were it taken, nothing would pass, and the test fail.
  (void)bind(Listener, reinterpret_cast<sockaddr *>(&at), sizeof(at));
  (void)::listen(Listener, Backlog);
  Accepting = std::thread([this] { accept(); });
}

Relay::~Relay() {
  Stopped = true;
  Accepting.join();
  std::lock_guard<std::mutex> guard(Lock);
  for (auto &thread : Passing)
    thread.join();
  close(Listener);
}

void Relay::accept() {
  pollfd ready{Listener, POLLIN, 0};
  while (!Stopped) {
    if (Now == Mode::Cut) {
      shortPause();
      continue;
    }
    if (poll(&ready, 1, PollMs) <= 0)
      continue;
    int from = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    std::lock_guard<std::mutex> guard(Lock);
    if (from >= 0)
      Passing.emplace_back([this, from] { pass(from); });
  }
}

void Relay::pass(int from) {
  int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = rawAddress(To);
  bool open = connect(to, reinterpret_cast<sockaddr *>(&at), sizeof(at)) == 0;
  while (open && !Stopped && Now != Mode::Resets) {
    if (Now == Mode::Cut) {
      shortPause();
      continue;
    }
    std::array<pollfd, 2> ready{{{from, POLLIN, 0}, {to, POLLIN, 0}}};
    poll(ready.data(), ready.size(), PollMs);
    if (ready[0].revents != 0)
      open = passSome(from, to, false);
    if (open && ready[1].revents != 0) {
      if (Now == Mode::Delayed)
        std::this_thread::sleep_for(AnswerDelay);
      open = passSome(to, from, Now == Mode::AnswersLost);
    }
  }
  if (Now == Mode::Resets)
    closeByReset(from);
  else
    close(from);
  close(to);
}

} // namespace balsamrack
