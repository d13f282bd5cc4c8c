#include "Balsamrack/Membership/OwnershipFence.h"

#include <algorithm>

namespace balsamrack {

const char *authorityName(AuthorityState state) {
  switch (state) {
  case AuthorityState::Held:
    return "held";
  case AuthorityState::Expired:
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
  extendLease(now + Settings.LeaseTime);
}

void OwnershipFence::extendLease(TimePoint until) {
  LeaseEnd = std::max(LeaseEnd, until);
  if (!Expired)
    DispatchUntil.store(LeaseEnd.time_since_epoch().count(),
                        std::memory_order_release);
}

void OwnershipFence::expireIfDue(TimePoint now) {
  // A renewed lease may expire again before restart is called.
  if (now < LeaseEnd || (Expired && !RenewedAfterExpiry))
    return;
  Expired = true;
  RenewedAfterExpiry = false;
  ExpiredAt = now;
  ++Expiries;
  DispatchUntil.store(0, std::memory_order_release);
}

void OwnershipFence::onTick(TimePoint now) {
  std::lock_guard<std::mutex> guard(Lock);
  bool slept = now - LastTick > Settings.LeaseTime;
  LastTick = now;
  expireIfDue(now);
  if (!Peers.empty())
    return;
  // Without peers nobody renews the lease. After an expiry, another daemon that
  // is not known yet may have taken over: wait until its lease has ended and
  // its updates have arrived.
  if (Expired && !RenewedAfterExpiry) {
    if (slept)
      ExpiredAt = now;
    RenewedAfterExpiry = now - ExpiredAt >= Settings.takeoverWait();
  }
  if (!Expired || RenewedAfterExpiry)
    extendLease(now + Settings.LeaseTime);
}

void OwnershipFence::renewLease(const VmId &peer, TimePoint sentAt,
                                TimePoint now) {
  std::lock_guard<std::mutex> guard(Lock);
  expireIfDue(now);
  if (Peers.count(peer) == 0)
    return;
  // Ignore the answer to a probe that was sent before a pause: it shows that
  // the peer considered this daemon alive then, not now.
  if (Expired && sentAt < ExpiredAt)
    return;
  if (Expired)
    RenewedAfterExpiry = true;
  extendLease(sentAt + Settings.LeaseTime);
}

void OwnershipFence::setPeers(const std::vector<VmId> &peers, TimePoint now) {
  std::lock_guard<std::mutex> guard(Lock);
  expireIfDue(now);
  Peers = std::set<VmId>(peers.begin(), peers.end());
}

bool OwnershipFence::mayDispatch(TimePoint now) const {
  return now.time_since_epoch().count() <
         DispatchUntil.load(std::memory_order_acquire);
}

AuthorityState OwnershipFence::state(TimePoint now) const {
  std::lock_guard<std::mutex> guard(Lock);
  if (now >= LeaseEnd || (Expired && !RenewedAfterExpiry))
    return AuthorityState::Expired;
  return Expired ? AuthorityState::Renewed : AuthorityState::Held;
}

uint64_t OwnershipFence::expiries() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Expiries;
}

void OwnershipFence::restart(uint64_t expiry, TimePoint now) {
  std::lock_guard<std::mutex> guard(Lock);
  expireIfDue(now);
  if (!Expired || !RenewedAfterExpiry || expiry != Expiries)
    return;
  Expired = false;
  extendLease(LeaseEnd);
}

} // namespace balsamrack
