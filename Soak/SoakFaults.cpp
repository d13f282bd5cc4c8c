#include "Soak/SoakFaults.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "absl/strings/str_cat.h"

namespace balsamrack::soak {

namespace {

/// Time between the starts of two faults. Faults last up to three seconds, so
/// about five overlap.
constexpr int64_t MinGapMillis = 100;
constexpr int64_t MaxGapMillis = 700;
/// Maximum time from SIGTERM to the exit of a daemon: its grace period, and a
/// second for a busy machine.
constexpr Duration StopTimeout{7'000'000};
constexpr Duration StopPollPeriod{50'000};
/// A process that is still loading has no signal handlers yet, so SIGTERM or
/// SIGHUP ends it. Nothing is lost: it was never ready, and the platform
/// restarts it.
constexpr Duration LoadingTime{500'000};
/// Time for which servers drain, and time before their addresses are reused.
constexpr Duration DrainTime{3'500'000};
constexpr Duration AddressReuseDelay{2'000'000};
/// Time for which a server stays published after its crash.
constexpr Duration EntryLifetime{1'500'000};
constexpr Duration DomainOutTime{6'000'000};

} // namespace

SoakFaults::SoakFaults(SoakFleet &fleet, uint64_t seed, TimePoint from,
                       Duration length)
    : Fleet(fleet), Random(seed), Down(SoakFleet::DaemonCount),
      StartedAt(SoakFleet::DaemonCount, from),
      Replacing(SoakFleet::ServerCount) {
  TimePoint when = from;
  for (when += randomDuration(MinGapMillis, MaxGapMillis); when < from + length;
       when += randomDuration(MinGapMillis, MaxGapMillis))
    schedule(when, [this](TimePoint now) { beginFault(now); });
}

Duration SoakFaults::randomDuration(int64_t minMillis, int64_t maxMillis) {
  auto span = static_cast<uint64_t>(maxMillis - minMillis);
  return Duration((minMillis + static_cast<int64_t>(Random.below(span + 1))) *
                  1000);
}

bool SoakFaults::step(TimePoint now) {
  while (!Scheduled.empty() && Scheduled.begin()->first <= now) {
    Action action = std::move(Scheduled.begin()->second);
    Scheduled.erase(Scheduled.begin());
    action(now);
  }
  checkDaemons(now);
  return !Scheduled.empty();
}

void SoakFaults::checkDaemons(TimePoint now) {
  for (size_t i = 0; i < SoakFleet::DaemonCount; ++i) {
    Process *daemon = Fleet.daemon(i);
    if (Down[i] || !daemon || daemon->isRunning())
      continue;
    auto code = daemon->awaitExit(Duration{0});
    Down[i] = true;
    Fleet.forgetDaemon(i);
    if (code.ok() && *code == -SIGHUP && now - StartedAt[i] < LoadingTime) {
      ++Counts["hup-while-loading"];
      scheduleStart(now, i);
      continue;
    }
    Violations.push_back(absl::StrCat("daemon ", i, " ended by itself: code ",
                                      code.ok() ? *code : 0));
  }
}

void SoakFaults::beginFault(TimePoint now) {
  size_t daemon = Random.below(SoakFleet::DaemonCount);
  size_t server = Random.below(SoakFleet::ServerCount);
  static constexpr uint64_t Kinds = 13;
  switch (Random.below(Kinds)) {
  case 0:
    return killDaemons(now, 1);
  case 1:
    return killDaemons(now, SoakFleet::DaemonCount);
  case 2:
    return stopDaemon(now, daemon);
  case 3:
    return freezeDaemon(now, daemon);
  case 4:
    return breakSettings(now, daemon);
  case 5:
    return failStore(now);
  case 6:
    return failStoreRelay(now, daemon);
  case 7:
    return degradeLinks(now);
  case 8:
    return partitionDomain(now, daemon % 2);
  case 9:
    return silenceServer(now, server);
  case 10:
    return replaceServer(now, server, Random.below(2) == 0);
  case 11:
    return changeRoutes(now);
  default:
    return takeDomainOut(now, daemon % 2);
  }
}

void SoakFaults::killDaemons(TimePoint now, size_t maxDaemons) {
  ++Counts[maxDaemons == 1 ? "kill" : "kill-many"];
  size_t first = Random.below(SoakFleet::DaemonCount);
  size_t n = 1 + Random.below(maxDaemons);
  for (size_t k = 0; k < n; ++k) {
    size_t i = (first + k) % SoakFleet::DaemonCount;
    if (Down[i])
      continue;
    Down[i] = true;
    Fleet.killDaemon(i);
    scheduleStart(now, i);
  }
}

void SoakFaults::scheduleStart(TimePoint now, size_t daemon) {
  schedule(now + randomDuration(100, 1500), [this, daemon](TimePoint then) {
    StartedAt[daemon] = then;
    absl::Status status = Fleet.startDaemon(daemon);
    if (!status.ok())
      Violations.push_back(
          absl::StrCat("daemon ", daemon,
                       " can't be started: ", std::string(status.message())));
    Down[daemon] = !status.ok();
  });
}

void SoakFaults::stopDaemon(TimePoint now, size_t daemon) {
  if (Down[daemon])
    return;
  ++Counts["stop"];
  Down[daemon] = true;
  Fleet.daemon(daemon)->signal(SIGTERM);
  checkStoppedLater(now, daemon, now);
}

void SoakFaults::checkStoppedLater(TimePoint now, size_t daemon,
                                   TimePoint sent) {
  schedule(now + StopPollPeriod, [this, daemon, sent](TimePoint later) {
    Process *process = Fleet.daemon(daemon);
    if (process->isRunning() && later - sent < StopTimeout)
      return checkStoppedLater(later, daemon, sent);
    auto code = process->awaitExit(Duration{0});
    bool loading = sent - StartedAt[daemon] < LoadingTime;
    bool endedInTime =
        code.ok() && (*code == 0 || (loading && *code == -SIGTERM));
    if (!endedInTime)
      Violations.push_back(absl::StrCat("daemon ", daemon, " after SIGTERM: ",
                                        code.ok() ? absl::StrCat("exit ", *code)
                                                  : "does not end"));
    Fleet.killDaemon(daemon);
    scheduleStart(later, daemon);
  });
}

void SoakFaults::freezeDaemon(TimePoint now, size_t daemon) {
  if (Down[daemon])
    return;
  ++Counts["freeze"];
  // Marked as down, as it could not respond to other faults meanwhile.
  Down[daemon] = true;
  Fleet.daemon(daemon)->signal(SIGSTOP);
  schedule(now + randomDuration(300, 3000), [this, daemon](TimePoint) {
    Fleet.daemon(daemon)->signal(SIGCONT);
    Down[daemon] = false;
  });
}

void SoakFaults::breakSettings(TimePoint now, size_t daemon) {
  ++Counts["settings"];
  bool signalled = Random.below(2) == 0;
  Fleet.writeSettings(daemon, true);
  if (signalled && !Down[daemon])
    Fleet.daemon(daemon)->signal(SIGHUP);
  schedule(now + randomDuration(100, 2000),
           [this, daemon, signalled](TimePoint) {
             Fleet.writeSettings(daemon, false);
             if (signalled && !Down[daemon])
               Fleet.daemon(daemon)->signal(SIGHUP);
           });
}

void SoakFaults::failStore(TimePoint now) {
  using Mode = platform::StandInStore::Mode;
  ++Counts["store"];
  static constexpr Mode Modes[] = {Mode::Refuses, Mode::Busy, Mode::Silent};
  uint64_t kind = Random.below(4);
  if (kind == 3) {
    Fleet.store().dropHistory();
    return;
  }
  Fleet.store().setMode(Modes[kind]);
  schedule(now + randomDuration(300, 3000),
           [this](TimePoint) { Fleet.store().setMode(Mode::Good); });
}

void SoakFaults::failStoreRelay(TimePoint now, size_t daemon) {
  ++Counts["store-path"];
  static constexpr Relay::Mode Modes[] = {
      Relay::Mode::Cut, Relay::Mode::RepliesLost, Relay::Mode::RepliesDelayed,
      Relay::Mode::Resetting};
  Fleet.storeRelay(daemon).setMode(Modes[Random.below(4)]);
  schedule(now + randomDuration(300, 3000), [this, daemon](TimePoint) {
    Fleet.storeRelay(daemon).setMode(Relay::Mode::Forwarding);
  });
}

void SoakFaults::degradeLinks(TimePoint now) {
  ++Counts["lossy-links"];
  LinkFaults faults{50, 30, 100};
  auto setAll = [this](const LinkFaults &linkFaults) {
    for (size_t i = 0; i < SoakFleet::DaemonCount; ++i)
      Fleet.daemonLink(i).setFaults(linkFaults);
    for (size_t p = 0; p < SoakFleet::ServerCount; ++p)
      Fleet.serverLink(p).setFaults(linkFaults);
  };
  setAll(faults);
  schedule(now + randomDuration(300, 3000),
           [setAll](TimePoint) { setAll(LinkFaults()); });
}

void SoakFaults::partitionDomain(TimePoint now, size_t domain) {
  ++Counts["domain-cut"];
  Fleet.setDomainPartitioned(domain, true);
  schedule(now + randomDuration(500, 3000), [this, domain](TimePoint) {
    Fleet.setDomainPartitioned(domain, false);
  });
}

void SoakFaults::silenceServer(TimePoint now, size_t server) {
  ++Counts["server-dark"];
  Fleet.serverLink(server).setSilent(true);
  schedule(now + randomDuration(300, 3000), [this, server](TimePoint) {
    Fleet.serverLink(server).setSilent(false);
  });
}

bool SoakFaults::isLastOfService(size_t server) const {
  // There are two servers of plans and four of booking: the neighbour in the
  // other domain must stay.
  size_t other = server ^ 1U;
  return Replacing[other];
}

void SoakFaults::replaceServer(TimePoint now, size_t server, bool drains) {
  if (Replacing[server] || isLastOfService(server))
    return;
  ++Counts[drains ? "server-drained" : "server-crashed"];
  Replacing[server] = true;
  Duration until = drains ? DrainTime : EntryLifetime;
  if (drains)
    Fleet.publishServer(server, "draining");
  else
    Fleet.stopServer(server);
  // In between, a server of the other service uses the address.
  schedule(now + until, [this, server](TimePoint later) {
    Fleet.removeServerEntry(server);
    Fleet.stopServer(server);
    schedule(later + AddressReuseDelay, [this, server](TimePoint then) {
      absl::Status status = Fleet.startServer(server, true);
      if (status.ok())
        Fleet.publishServer(server, "ready");
      schedule(then + AddressReuseDelay, [this, server](TimePoint end) {
        Fleet.removeServerEntry(server);
        Fleet.stopServer(server);
        schedule(end + AddressReuseDelay, [this, server](TimePoint) {
          absl::Status last = Fleet.startServer(server, false);
          if (!last.ok())
            Violations.push_back(
                absl::StrCat("the soak itself: a server can't be started: ",
                             std::string(last.message())));
          Fleet.publishServer(server, "ready");
          Replacing[server] = false;
        });
      });
    });
  });
}

void SoakFaults::changeRoutes(TimePoint now) {
  ++Counts["configuration"];
  HasTemporaryRoute = !HasTemporaryRoute;
  DroppedAt = HasTemporaryRoute ? TimePoint{} : now;
  Fleet.publishRoutes(HasTemporaryRoute);
  ++Configurations;
}

void SoakFaults::takeDomainOut(TimePoint now, size_t domain) {
  if (IsDomainOut)
    return;
  ++Counts["domain-out"];
  IsDomainOut = true;
  Fleet.setDomainOut(domain, true);
  schedule(now + DomainOutTime, [this, domain](TimePoint) {
    Fleet.setDomainOut(domain, false);
    IsDomainOut = false;
  });
}

} // namespace balsamrack::soak
