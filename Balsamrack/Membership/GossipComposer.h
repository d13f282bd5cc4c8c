#ifndef BALSAMRACK_MEMBERSHIP_GOSSIPCOMPOSER_H
#define BALSAMRACK_MEMBERSHIP_GOSSIPCOMPOSER_H

#include <map>

#include "Balsamrack/Membership/GossipQueue.h"
#include "Balsamrack/Membership/MemberTable.h"
#include "Balsamrack/Membership/MembershipSettings.h"

namespace balsamrack {

/// Returns the estimated encoded size of \p record in bytes. Thread-safe.
size_t estimatedBytes(const MemberRecord &record);
/// Returns the estimated encoded size of \p condition in bytes. Thread-safe.
size_t estimatedBytes(const ServerCondition &condition);

/// Selects the updates to piggyback on a probe message, within a size limit.
/// Not thread-safe.
class GossipComposer {
public:
  /// Creates a composer for a daemon of \p domain. Thread-safe.
  GossipComposer(const MembershipSettings &settings, const DomainId &domain);

  /// Sets the digest of this daemon's configuration. Not thread-safe.
  void setDigest(const StateDigest &held) { OwnDigest = held; }
  /// Returns the digest of this daemon's configuration. Not thread-safe.
  const StateDigest &digest() const { return OwnDigest; }
  /// Queues the record of \p vm for gossip. Not thread-safe.
  void queueMember(const VmId &vm) { MemberQueue.add(vm); }
  /// Removes a forgotten member from the queue. Not thread-safe.
  void removeMember(const VmId &vm) { MemberQueue.remove(vm); }
  /// Queues \p condition for gossip if it is newer than the known one; returns
  /// whether it is. Not thread-safe.
  bool queueCondition(const ServerCondition &condition);

  /// Returns the updates for a message to \p to. If \p to is known, but not
  /// considered alive, its own record comes first, so that it refutes the
  /// record at once and does not treat the message as a lease renewal. Not
  /// thread-safe.
  Gossip compose(const MemberMap &members, const EntryVm &to);
  /// As compose, for a newly started daemon: the full table up to
  /// FullTableBytes, the receiver's domain first. Not thread-safe.
  Gossip composeFull(const MemberMap &members, const EntryVm &to);

private:
  size_t addReceiverRecord(const MemberMap &members, const EntryVm &to,
                           Gossip &gossip) const;
  uint32_t timesToSend(size_t members) const;

  const MembershipSettings Settings;    ///< Size limits.
  const DomainId Domain;                ///< This daemon's domain.
  StateDigest OwnDigest;                ///< Digest of the configuration.
  GossipQueue<VmId> MemberQueue;        ///< Members with pending updates.
  GossipQueue<ServerId> ConditionQueue; ///< Servers with pending updates.
  std::map<ServerId, ServerCondition>
      Conditions; ///< Newest condition of each server.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_GOSSIPCOMPOSER_H
