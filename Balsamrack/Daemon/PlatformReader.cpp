#include "Balsamrack/Daemon/PlatformReader.h"

#include <algorithm>
#include <utility>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

/// Avoids a tight loop when the platform violates the protocol by answering a
/// watch at once.
constexpr Duration MinReadPeriod{20'000};

} // namespace

const char *platformStateName(PlatformState state) {
  switch (state) {
  case PlatformState::Unread:
    return "unread";
  case PlatformState::Good:
    return "good";
  case PlatformState::Stale:
    return "stale";
  case PlatformState::Down:
    break;
  }
  return "down";
}

Duration backoffAfter(uint32_t failures, const PlatformSettings &settings,
                      RandomSource &random) {
  Duration wait = settings.MinBackoff;
  for (uint32_t i = 1; i < failures && wait < settings.MaxBackoff; ++i)
    wait *= 2;
  wait = std::min(wait, settings.MaxBackoff);
  return Duration(static_cast<int64_t>(static_cast<double>(wait.count()) *
                                       (0.5 + random.nextDouble() / 2)));
}

PlatformReader::PlatformReader(const PlatformSettings &settings,
                               PlatformLink &link, Telemetry &telemetry,
                               uint64_t seed, TicketSink onTicket, VmSink onVms)
    : Settings(settings), Link(link), TelemetrySink(telemetry), Seed(seed),
      OnTicket(std::move(onTicket)), OnVms(std::move(onVms)) {
  TicketThread = std::thread([this] { readTickets(); });
  VmThread = std::thread([this] { readVms(); });
}

PlatformReader::~PlatformReader() { stop(); }

void PlatformReader::stop() {
  {
    std::lock_guard<std::mutex> guard(Lock);
    if (std::exchange(Stopping, true))
      return;
  }
  Stopped.notify_all();
  Link.stop();
  TicketThread.join();
  VmThread.join();
}

PlatformState PlatformReader::state() const {
  std::lock_guard<std::mutex> guard(Lock);
  return State;
}

TicketNumber PlatformReader::highestTicket() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Highest;
}

bool PlatformReader::waitUnlessStopping(Duration wait) {
  std::unique_lock<std::mutex> guard(Lock);
  return !Stopped.wait_for(guard, wait, [&] { return Stopping; });
}

void PlatformReader::updateState(const absl::StatusOr<TicketPage> &page) {
  std::lock_guard<std::mutex> guard(Lock);
  PlatformState state = PlatformState::Good;
  if (!page.ok())
    state = PlatformState::Down;
  else if (page->Highest < Highest)
    state = PlatformState::Stale;
  else
    Highest = page->Highest;
  if (Stopping || state == State)
    return;
  State = state;
  if (state == PlatformState::Down)
    TelemetrySink.recordError(Component::Platform, page.status());
  else if (state == PlatformState::Stale)
    TelemetrySink.log(Component::Platform, Severity::Warning,
                      absl::StrCat("The platform responds with ticket ",
                                   page->Highest.Value, " after it reported ",
                                   Highest.Value, ". Older data is ignored."));
  else
    TelemetrySink.log(Component::Platform, Severity::Info,
                      "The platform responds.");
}

void PlatformReader::readTickets() {
  SeededRandom random(Seed);
  uint32_t failures = 0;
  TicketNumber after;
  for (;;) {
    const auto page = Link.readTickets(after, Settings.Watch);
    updateState(page);
    if (!page.ok()) {
      if (!waitUnlessStopping(backoffAfter(++failures, Settings, random)))
        return;
      continue;
    }
    failures = 0;
    for (const std::string &it : page->Tickets)
      OnTicket(it);
    after = std::max(after, page->Highest);
    if (!waitUnlessStopping(MinReadPeriod))
      return;
  }
}

void PlatformReader::readVms() {
  SeededRandom random(Seed + 1);
  uint32_t failures = 0;
  uint64_t after = 0;
  for (;;) {
    const auto page = Link.readVms(after, Settings.Watch);
    if (!page.ok()) {
      if (!waitUnlessStopping(backoffAfter(++failures, Settings, random)))
        return;
      continue;
    }
    failures = 0;
    // Membership treats every list as a hint, so an older list does no harm.
    if (page->Version != after)
      OnVms(page->Vms);
    after = page->Version;
    if (!waitUnlessStopping(MinReadPeriod))
      return;
  }
}

} // namespace balsamrack
