#include "Balsamrack/Membership/OwnershipFence.h"

#include <algorithm>

namespace balsamrack {

const char *authorityName(AuthorityState state) {
  switch (state) {
  case AuthorityState::Held:
    return "held";
  case AuthorityState::Lapsed:
    return "lapsed";
  case AuthorityState::Renewed:
    return "renewed";
  }
  return "unknown";
}

absl::StatusOr<std::unique_ptr<OwnershipFence>>
OwnershipFence::create(const MembershipSettings &settings, TimePoint now) {
  absl::Status checked = settings.check();
  if (!checked.ok())
    return checked;
  return std::unique_ptr<OwnershipFence>(new OwnershipFence(settings, now));
}

OwnershipFence::OwnershipFence(const MembershipSettings &settings,
                               TimePoint now)
    : Settings(settings), DispatchUntil(0) {
  extend(now + Settings.LeaseTime);
}

void OwnershipFence::extend(TimePoint until) {
  Until = std::max(Until, until);
  if (!Lapsed)
    DispatchUntil.store(Until.time_since_epoch().count(),
                        std::memory_order_release);
}

void OwnershipFence::noteLapse(TimePoint now) {
  // A renewal after a lapse may run out too, before restart was called.
  if (now < Until || (Lapsed && !RenewedSince))
    return;
  Lapsed = true;
  RenewedSince = false;
  LapsedAt = now;
  ++Lapses;
  DispatchUntil.store(0, std::memory_order_release);
}

void OwnershipFence::ticked(TimePoint now) {
  std::lock_guard<std::mutex> guard(Lock);
  bool slept = now - LastTick > Settings.LeaseTime;
  LastTick = now;
  noteLapse(now);
  if (!Peers.empty())
    return;
  // Alone: nobody renews. After a lapse, whoever may have taken over meanwhile
  // and is not known yet gets the time that its lease and its updates need.
  if (Lapsed && !RenewedSince) {
    if (slept)
      LapsedAt = now;
    RenewedSince = now - LapsedAt >= Settings.takeoverWait();
  }
  if (!Lapsed || RenewedSince)
    extend(now + Settings.LeaseTime);
}

void OwnershipFence::heard(const VmId &peer, TimePoint sentAt, TimePoint now) {
  std::lock_guard<std::mutex> guard(Lock);
  noteLapse(now);
  if (Peers.count(peer) == 0)
    return;
  // Guards against the answer to a probe from before a pause, read after it:
  // it shows that the peer held us for alive then, not now.
  if (Lapsed && sentAt < LapsedAt)
    return;
  if (Lapsed)
    RenewedSince = true;
  extend(sentAt + Settings.LeaseTime);
}

void OwnershipFence::peersChanged(const std::vector<VmId> &peers,
                                  TimePoint now) {
  std::lock_guard<std::mutex> guard(Lock);
  noteLapse(now);
  Peers = std::set<VmId>(peers.begin(), peers.end());
}

bool OwnershipFence::mayDispatch(TimePoint now) const {
  return now.time_since_epoch().count() <
         DispatchUntil.load(std::memory_order_acquire);
}

AuthorityState OwnershipFence::state(TimePoint now) const {
  std::lock_guard<std::mutex> guard(Lock);
  if (now >= Until || (Lapsed && !RenewedSince))
    return AuthorityState::Lapsed;
  return Lapsed ? AuthorityState::Renewed : AuthorityState::Held;
}

uint64_t OwnershipFence::lapses() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Lapses;
}

void OwnershipFence::restart(uint64_t lapse, TimePoint now) {
  std::lock_guard<std::mutex> guard(Lock);
  noteLapse(now);
  if (!Lapsed || !RenewedSince || lapse != Lapses)
    return;
  Lapsed = false;
  extend(Until);
}

} // namespace balsamrack
