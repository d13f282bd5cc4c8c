#ifndef BALSAMRACK_MEMBERSHIP_HINTLIST_H
#define BALSAMRACK_MEMBERSHIP_HINTLIST_H

#include <map>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Membership/MemberView.h"
#include "Balsamrack/Membership/MembershipSettings.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// VMs from the platform's list or the settings that have not answered yet.
/// Since the list lags and may contain dead VMs, a hint is only probed, with
/// exponential backoff, and never counts as alive. Not thread-safe.
class HintList {
public:
  /// Creates a list for the daemon \p self. Thread-safe.
  HintList(const MembershipSettings &settings, const EntryVm &self);

  /// Sets the platform's list; replaces the previous one. Not thread-safe.
  void setListed(TimePoint now, const std::vector<EntryVm> &vms,
                 const MemberMap &members);
  /// Adds peers from the settings; they are never removed. Not thread-safe.
  void addSeeds(TimePoint now, const std::vector<EntryVm> &vms,
                const MemberMap &members);
  /// Removes the hint for \p vm, which is a member now. Not thread-safe.
  void forget(const VmId &vm) { Hints.erase(vm); }
  /// Turns a forgotten member into a hint again if it is still listed or
  /// seeded. Not thread-safe.
  void onMemberForgotten(TimePoint now, const VmId &vm);
  /// Returns the hints to probe now and schedules their next probe: a few of
  /// the own domain first, then a few seeds or one VM of other domains. Not
  /// thread-safe.
  std::vector<EntryVm> takeDue(TimePoint now);
  /// Returns all listed or seeded VMs of the own domain, members included,
  /// except this daemon. Not thread-safe.
  std::vector<VmId> domainPeers() const;
  /// Returns whether a non-empty list or seeds were set. Not thread-safe.
  bool known() const { return !Listed.empty() || !Seeded.empty(); }
  /// Returns whether a non-empty platform list is set and does not contain \p
  /// vm. Not thread-safe.
  bool isUnlisted(const VmId &vm) const {
    return !Listed.empty() && Listed.count(vm) == 0;
  }

private:
  /// A VM to probe and its schedule.
  struct Hint {
    EntryVm Vm;     ///< VM to probe.
    TimePoint Next; ///< Time of the next probe.
    Duration Wait;  ///< Wait after the next probe; doubles each time.
  };
  void add(TimePoint now, const EntryVm &vm);
  void addMissing(TimePoint now, const std::vector<EntryVm> &vms,
                  const MemberMap &members);

  const MembershipSettings Settings; ///< Retry periods.
  const EntryVm Self;                ///< This daemon's VM.
  std::map<VmId, EntryVm> Listed;    ///< Latest platform list.
  std::map<VmId, EntryVm> Seeded;    ///< Seeds from the settings.
  std::map<VmId, Hint> Hints; ///< Listed or seeded VMs that are not members.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_HINTLIST_H
