#include "Balsamrack/Packets/ConnectionProber.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace balsamrack {

ConnectionProber::~ConnectionProber() {
  for (const PendingAttempt &it : Attempts)
    close(it.Fd);
}

void ConnectionProber::start(TimePoint now, const ConnectionAttempt &attempt) {
  int fd = Attempts.size() < MaxConcurrent
               ? socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
               : -1;
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(attempt.At.Port);
  to.sin_addr.s_addr = htonl(attempt.At.Ip);
  bool begun = fd >= 0 && (connect(fd, reinterpret_cast<sockaddr *>(&to),
                                   sizeof to) == 0 ||
                           errno == EINPROGRESS);
  if (begun) {
    Attempts.push_back({attempt.Server, fd, now + attempt.Timeout});
    return;
  }
  if (fd >= 0)
    close(fd);
  Results.push_back({attempt.Server, ConnectionResult::NotAttempted});
}

void ConnectionProber::addPollFds(std::vector<pollfd> &polled) const {
  for (const PendingAttempt &it : Attempts)
    polled.push_back({it.Fd, POLLOUT, 0});
}

TimePoint ConnectionProber::nextTimeout() const {
  TimePoint next(Duration::max());
  for (const PendingAttempt &it : Attempts)
    next = std::min(next, it.Deadline);
  return Results.empty() ? next : TimePoint{};
}

std::vector<ConnectionAttemptResult>
ConnectionProber::takeFinished(TimePoint now) {
  for (size_t i = 0; i < Attempts.size();) {
    PendingAttempt &attempt = Attempts[i];
    pollfd polled{attempt.Fd, POLLOUT, 0};
    bool ended = poll(&polled, 1, 0) > 0;
    if (!ended && now < attempt.Deadline) {
      ++i;
      continue;
    }
    int error = 0;
    socklen_t length = sizeof error;
    bool connected =
        ended &&
        getsockopt(attempt.Fd, SOL_SOCKET, SO_ERROR, &error, &length) == 0 &&
        error == 0;
    close(attempt.Fd);
    Results.push_back({attempt.Server, connected ? ConnectionResult::Connected
                                                 : ConnectionResult::Failed});
    attempt = Attempts.back();
    Attempts.pop_back();
  }
  return std::exchange(Results, {});
}

} // namespace balsamrack
