#ifndef BALSAMRACK_MEMBERSHIP_HINTLIST_H
#define BALSAMRACK_MEMBERSHIP_HINTLIST_H

#include <map>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Membership/MemberView.h"
#include "Balsamrack/Membership/MembershipSettings.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// VMs that the platform's list or the settings name and that never answered.
/// Guards against a list that lags and names the dead: a hint is only tried,
/// less and less often, and never counts as alive. Not thread-safe.
class HintList {
public:
  /// A list for the daemon \p self. Thread-safe.
  HintList(const MembershipSettings &settings, const EntryVm &self);

  /// The platform's list; replaces the one before. Not thread-safe.
  void setListed(TimePoint now, const std::vector<EntryVm> &vms,
                 const MemberMap &members);
  /// Peers from the settings; they stay. Not thread-safe.
  void addSeeds(TimePoint now, const std::vector<EntryVm> &vms,
                const MemberMap &members);
  /// \p vm is a member now: no need to try it. Not thread-safe.
  void forget(const VmId &vm) { Hints.erase(vm); }
  /// A member was forgotten; if it is still named it is a hint again. Not
  /// thread-safe.
  void onMemberForgotten(TimePoint now, const VmId &vm);
  /// Hints to be tried now, own domain first, and counts them as tried: a few
  /// of the own domain, one of others. Not thread-safe.
  std::vector<EntryVm> takeDue(TimePoint now);
  /// Everyone of the own domain that is named, member or not, but this daemon.
  /// Not thread-safe.
  std::vector<VmId> domainPeers() const;
  /// True once the list or seeds were given. Not thread-safe.
  bool known() const { return !Listed.empty() || !Seeded.empty(); }
  /// True when the platform's list was given and lacks \p vm. Not thread-safe.
  bool isUnlisted(const VmId &vm) const {
    return !Listed.empty() && Listed.count(vm) == 0;
  }

private:
  /// When to try a hint again.
  struct Hint {
    EntryVm Vm;     ///< Whom to try.
    TimePoint Next; ///< When.
    Duration Wait;  ///< Wait after the next try; doubles.
  };
  void add(TimePoint now, const EntryVm &vm);
  void addMissing(TimePoint now, const std::vector<EntryVm> &vms,
                  const MemberMap &members);

  const MembershipSettings Settings; ///< Times.
  const EntryVm Self;                ///< This daemon's VM.
  std::map<VmId, EntryVm> Listed;    ///< As the platform said last.
  std::map<VmId, EntryVm> Seeded;    ///< From the settings.
  std::map<VmId, Hint> Hints;        ///< Named, but not members.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_HINTLIST_H
