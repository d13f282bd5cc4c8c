#include "Soak/SoakFaults.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "absl/strings/str_cat.h"

namespace balsamrack::soak {

namespace {

/// Between the beginnings of two faults: faults last up to three seconds, so
/// some five overlap.
constexpr int64_t LeastGapMillis = 100;
constexpr int64_t MostGapMillis = 700;
/// From SIGTERM to the end of a daemon: its grace, and a second for a busy
/// machine.
constexpr Duration StopLimit{7'000'000};
constexpr Duration LookPeriod{50'000};
/// A process that is still being loaded has no signal handler yet, and SIGTERM
/// or SIGHUP end it. Nothing is lost: it was never ready, and whoever runs it
/// starts it again.
constexpr Duration LoadingSpan{500'000};
/// Servers drain for so long, and their addresses rest before they are used
/// again.
constexpr Duration DrainSpan{3'500'000};
constexpr Duration AddressRest{2'000'000};
/// An entry stands for so long after its server died.
constexpr Duration EntryLapse{1'500'000};
constexpr Duration DomainOutSpan{6'000'000};

} // namespace

SoakFaults::SoakFaults(SoakFleet &fleet, uint64_t seed, TimePoint from,
                       Duration length)
    : Fleet(fleet), Random(seed), Down(SoakFleet::Daemons),
      StartedAt(SoakFleet::Daemons, from), Replacing(SoakFleet::ServerPlaces) {
  TimePoint when = from;
  for (when += some(LeastGapMillis, MostGapMillis); when < from + length;
       when += some(LeastGapMillis, MostGapMillis))
    at(when, [this](TimePoint now) { begin(now); });
}

Duration SoakFaults::some(int64_t leastMillis, int64_t mostMillis) {
  auto span = static_cast<uint64_t>(mostMillis - leastMillis);
  return Duration((leastMillis + static_cast<int64_t>(Random.below(span + 1))) *
                  1000);
}

bool SoakFaults::step(TimePoint now) {
  while (!Due.empty() && Due.begin()->first <= now) {
    Work work = std::move(Due.begin()->second);
    Due.erase(Due.begin());
    work(now);
  }
  lookAtDaemons(now);
  return !Due.empty();
}

void SoakFaults::lookAtDaemons(TimePoint now) {
  for (size_t i = 0; i < SoakFleet::Daemons; ++i) {
    Process *daemon = Fleet.daemon(i);
    if (Down[i] || !daemon || daemon->running())
      continue;
    auto code = daemon->awaitEnd(Duration{0});
    Down[i] = true;
    Fleet.daemonEnded(i);
    if (code.ok() && *code == -SIGHUP && now - StartedAt[i] < LoadingSpan) {
      ++Counts["hup-while-loading"];
      startLater(now, i);
      continue;
    }
    Broken.push_back(absl::StrCat("daemon ", i, " ended by itself: code ",
                                  code.ok() ? *code : 0));
  }
}

void SoakFaults::begin(TimePoint now) {
  size_t daemon = Random.below(SoakFleet::Daemons);
  size_t place = Random.below(SoakFleet::ServerPlaces);
  static constexpr uint64_t Kinds = 13;
  switch (Random.below(Kinds)) {
  case 0:
    return killSome(now, 1);
  case 1:
    return killSome(now, SoakFleet::Daemons);
  case 2:
    return stopOne(now, daemon);
  case 3:
    return freezeOne(now, daemon);
  case 4:
    return harmSettings(now, daemon);
  case 5:
    return harmStore(now);
  case 6:
    return harmStoreRelay(now, daemon);
  case 7:
    return harmLinks(now);
  case 8:
    return cutDomains(now, daemon % 2);
  case 9:
    return darkServer(now, place);
  case 10:
    return replaceServer(now, place, Random.below(2) == 0);
  case 11:
    return changeRoutes(now);
  default:
    return takeDomainOut(now, daemon % 2);
  }
}

void SoakFaults::killSome(TimePoint now, size_t most) {
  ++Counts[most == 1 ? "kill" : "kill-many"];
  size_t first = Random.below(SoakFleet::Daemons);
  size_t n = 1 + Random.below(most);
  for (size_t k = 0; k < n; ++k) {
    size_t i = (first + k) % SoakFleet::Daemons;
    if (Down[i])
      continue;
    Down[i] = true;
    Fleet.killDaemon(i);
    startLater(now, i);
  }
}

void SoakFaults::startLater(TimePoint now, size_t daemon) {
  at(now + some(100, 1500), [this, daemon](TimePoint then) {
    StartedAt[daemon] = then;
    absl::Status status = Fleet.startDaemon(daemon);
    if (!status.ok())
      Broken.push_back(absl::StrCat("daemon ", daemon, " can't be started: ",
                                    std::string(status.message())));
    Down[daemon] = !status.ok();
  });
}

void SoakFaults::stopOne(TimePoint now, size_t daemon) {
  if (Down[daemon])
    return;
  ++Counts["stop"];
  Down[daemon] = true;
  Fleet.daemon(daemon)->signal(SIGTERM);
  awaitStopped(now, daemon, now);
}

void SoakFaults::awaitStopped(TimePoint now, size_t daemon, TimePoint sent) {
  at(now + LookPeriod, [this, daemon, sent](TimePoint later) {
    Process *process = Fleet.daemon(daemon);
    if (process->running() && later - sent < StopLimit)
      return awaitStopped(later, daemon, sent);
    auto code = process->awaitEnd(Duration{0});
    bool loading = sent - StartedAt[daemon] < LoadingSpan;
    bool endedInTime =
        code.ok() && (*code == 0 || (loading && *code == -SIGTERM));
    if (!endedInTime)
      Broken.push_back(absl::StrCat("daemon ", daemon, " after SIGTERM: ",
                                    code.ok() ? absl::StrCat("exit ", *code)
                                              : "does not end"));
    Fleet.killDaemon(daemon);
    startLater(later, daemon);
  });
}

void SoakFaults::freezeOne(TimePoint now, size_t daemon) {
  if (Down[daemon])
    return;
  ++Counts["freeze"];
  // Nothing else is done to it meanwhile: it could not answer.
  Down[daemon] = true;
  Fleet.daemon(daemon)->signal(SIGSTOP);
  at(now + some(300, 3000), [this, daemon](TimePoint) {
    Fleet.daemon(daemon)->signal(SIGCONT);
    Down[daemon] = false;
  });
}

void SoakFaults::harmSettings(TimePoint now, size_t daemon) {
  ++Counts["settings"];
  bool signalled = Random.below(2) == 0;
  Fleet.writeSettings(daemon, true);
  if (signalled && !Down[daemon])
    Fleet.daemon(daemon)->signal(SIGHUP);
  at(now + some(100, 2000), [this, daemon, signalled](TimePoint) {
    Fleet.writeSettings(daemon, false);
    if (signalled && !Down[daemon])
      Fleet.daemon(daemon)->signal(SIGHUP);
  });
}

void SoakFaults::harmStore(TimePoint now) {
  using Mode = platform::StandInStore::Mode;
  ++Counts["store"];
  static constexpr Mode Modes[] = {Mode::Refuses, Mode::Busy, Mode::Silent};
  uint64_t kind = Random.below(4);
  if (kind == 3) {
    Fleet.store().dropHistory();
    return;
  }
  Fleet.store().setMode(Modes[kind]);
  at(now + some(300, 3000),
     [this](TimePoint) { Fleet.store().setMode(Mode::Good); });
}

void SoakFaults::harmStoreRelay(TimePoint now, size_t daemon) {
  ++Counts["store-path"];
  static constexpr Relay::Mode Modes[] = {
      Relay::Mode::Cut, Relay::Mode::AnswersLost, Relay::Mode::Delayed,
      Relay::Mode::Resets};
  Fleet.storeRelay(daemon).setMode(Modes[Random.below(4)]);
  at(now + some(300, 3000), [this, daemon](TimePoint) {
    Fleet.storeRelay(daemon).setMode(Relay::Mode::Passes);
  });
}

void SoakFaults::harmLinks(TimePoint now) {
  ++Counts["lossy-links"];
  LinkHarm harm{50, 30, 100};
  auto all = [this](const LinkHarm &what) {
    for (size_t i = 0; i < SoakFleet::Daemons; ++i)
      Fleet.daemonLink(i).setHarm(what);
    for (size_t p = 0; p < SoakFleet::ServerPlaces; ++p)
      Fleet.serverLink(p).setHarm(what);
  };
  all(harm);
  at(now + some(300, 3000), [all](TimePoint) { all(LinkHarm()); });
}

void SoakFaults::cutDomains(TimePoint now, size_t from) {
  ++Counts["domain-cut"];
  Fleet.setDomainCut(from, true);
  at(now + some(500, 3000),
     [this, from](TimePoint) { Fleet.setDomainCut(from, false); });
}

void SoakFaults::darkServer(TimePoint now, size_t place) {
  ++Counts["server-dark"];
  Fleet.serverLink(place).setSilent(true);
  at(now + some(300, 3000),
     [this, place](TimePoint) { Fleet.serverLink(place).setSilent(false); });
}

bool SoakFaults::lastOfItsService(size_t place) const {
  // Two of plans, four of booking: the neighbour of the other domain stays.
  size_t other = place ^ 1U;
  return Replacing[other];
}

void SoakFaults::replaceServer(TimePoint now, size_t place, bool drains) {
  if (Replacing[place] || lastOfItsService(place))
    return;
  ++Counts[drains ? "server-drained" : "server-crashed"];
  Replacing[place] = true;
  Duration until = drains ? DrainSpan : EntryLapse;
  if (drains)
    Fleet.publishServer(place, "draining");
  else
    Fleet.endServer(place);
  // In between, its address belongs to a server of the other service.
  at(now + until, [this, place](TimePoint later) {
    Fleet.removeEntry(place);
    Fleet.endServer(place);
    at(later + AddressRest, [this, place](TimePoint then) {
      absl::Status status = Fleet.newServer(place, true);
      if (status.ok())
        Fleet.publishServer(place, "ready");
      at(then + AddressRest, [this, place](TimePoint end) {
        Fleet.removeEntry(place);
        Fleet.endServer(place);
        at(end + AddressRest, [this, place](TimePoint) {
          absl::Status last = Fleet.newServer(place, false);
          if (!last.ok())
            Broken.push_back(
                absl::StrCat("the soak itself: a server can't be started: ",
                             std::string(last.message())));
          Fleet.publishServer(place, "ready");
          Replacing[place] = false;
        });
      });
    });
  });
}

void SoakFaults::changeRoutes(TimePoint now) {
  ++Counts["configuration"];
  HasPassing = !HasPassing;
  DroppedAt = HasPassing ? TimePoint{} : now;
  Fleet.publishRoutes(HasPassing);
  ++Configurations;
}

void SoakFaults::takeDomainOut(TimePoint now, size_t domain) {
  if (DomainIsOut)
    return;
  ++Counts["domain-out"];
  DomainIsOut = true;
  Fleet.setDomainOut(domain, true);
  at(now + DomainOutSpan, [this, domain](TimePoint) {
    Fleet.setDomainOut(domain, false);
    DomainIsOut = false;
  });
}

} // namespace balsamrack::soak
