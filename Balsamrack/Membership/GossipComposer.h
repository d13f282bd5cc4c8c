#ifndef BALSAMRACK_MEMBERSHIP_GOSSIPCOMPOSER_H
#define BALSAMRACK_MEMBERSHIP_GOSSIPCOMPOSER_H

#include <map>

#include "Balsamrack/Membership/GossipQueue.h"
#include "Balsamrack/Membership/MemberTable.h"
#include "Balsamrack/Membership/MembershipSettings.h"

namespace balsamrack {

/// Size that \p record is reckoned with on a message, in bytes. Thread-safe.
size_t estimatedBytes(const MemberRecord &record);
/// Size that \p condition is reckoned with on a message. Thread-safe.
size_t estimatedBytes(const ServerCondition &condition);

/// Decides which updates ride on a probe message, within a bound of bytes. Not
/// thread-safe.
class GossipComposer {
public:
  /// A composer for a daemon of \p domain. Thread-safe.
  GossipComposer(const MembershipSettings &settings, const DomainId &domain);

  /// The own configuration is now \p held. Not thread-safe.
  void setDigest(const StateDigest &held) { OwnDigest = held; }
  /// The own configuration. Not thread-safe.
  const StateDigest &digest() const { return OwnDigest; }
  /// A member has updates to be spread. Not thread-safe.
  void queueMember(const VmId &vm) { MemberQueue.add(vm); }
  /// A member was forgotten. Not thread-safe.
  void removeMember(const VmId &vm) { MemberQueue.remove(vm); }
  /// Takes a condition; true when it is newer than what was known. Not
  /// thread-safe.
  bool queueCondition(const ServerCondition &condition);

  /// Updates for \p to. If \p to is known, but not held for alive, the updates
  /// of it come first: it refutes them at once, and takes the message for no
  /// renewal of its lease. Not thread-safe.
  Gossip compose(const MemberMap &members, const EntryVm &to);
  /// As compose, for a daemon that has just started: the whole table as far as
  /// FullTableBytes reach, its own domain first. Not thread-safe.
  Gossip composeFull(const MemberMap &members, const EntryVm &to);

private:
  size_t addReceiverRecord(const MemberMap &members, const EntryVm &to,
                           Gossip &gossip) const;
  uint32_t timesToSend(size_t members) const;

  const MembershipSettings Settings;              ///< Limits.
  const DomainId Domain;                          ///< Own domain.
  StateDigest OwnDigest;                          ///< Own configuration.
  GossipQueue<VmId> MemberQueue;                  ///< Members with updates.
  GossipQueue<ServerId> ConditionQueue;           ///< Servers with updates.
  std::map<ServerId, ServerCondition> Conditions; ///< Newest of each server.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_GOSSIPCOMPOSER_H
