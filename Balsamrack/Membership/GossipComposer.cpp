#include "Balsamrack/Membership/GossipComposer.h"

namespace balsamrack {

namespace {

/// Estimated size of the field names and numbers of one encoded record.
constexpr size_t MemberOverheadBytes = 80;
constexpr size_t ConditionOverheadBytes = 50;
/// Conditions take at most 1/N of the update bytes of a message.
constexpr size_t ConditionShareDivisor = 2;
/// Times that each daemon forwards an update per doubling of the fleet size.
/// Gossip needs about one (SWIM, section 4.1); the rest covers message loss.
constexpr uint32_t SendsPerDoubling = 2;

} // namespace

size_t estimatedBytes(const MemberRecord &record) {
  return MemberOverheadBytes + record.Vm.Id.str().size() +
         record.Vm.Domain.str().size() + record.Vm.PeerAt.Ip.size();
}

size_t estimatedBytes(const ServerCondition &condition) {
  return ConditionOverheadBytes + condition.Server.str().size() +
         condition.Instance.str().size();
}

GossipComposer::GossipComposer(const MembershipSettings &settings,
                               const DomainId &domain)
    : Settings(settings), Domain(domain) {}

bool GossipComposer::queueCondition(const ServerCondition &condition) {
  auto it = Conditions.find(condition.Server);
  if (it != Conditions.end() && condition.Version <= it->second.Version)
    return false;
  Conditions[condition.Server] = condition;
  ConditionQueue.add(condition.Server);
  return true;
}

uint32_t GossipComposer::timesToSend(size_t members) const {
  uint32_t doublings = 1;
  for (size_t n = 1; n < members; n *= 2)
    ++doublings;
  return SendsPerDoubling * doublings;
}

size_t GossipComposer::addReceiverRecord(const MemberMap &members,
                                         const EntryVm &to,
                                         Gossip &gossip) const {
  auto it = members.find(to.Id);
  if (it == members.end() || it->second.Record.State == MemberState::Alive)
    return 0;
  gossip.Members.push_back(it->second.Record);
  return estimatedBytes(it->second.Record);
}

Gossip GossipComposer::compose(const MemberMap &members, const EntryVm &to) {
  Gossip gossip{OwnDigest, {}, {}};
  uint32_t times = timesToSend(members.size());
  size_t left = Settings.GossipBytes;
  // Only daemons of the own domain use conditions.
  if (to.Domain == Domain)
    for (const ServerId &id : ConditionQueue.dequeue(
             left / ConditionShareDivisor, times,
             [&](auto &key) { return estimatedBytes(Conditions.at(key)); })) {
      gossip.Conditions.push_back(Conditions.at(id));
      left -= estimatedBytes(Conditions.at(id));
    }
  size_t used = addReceiverRecord(members, to, gossip);
  left -= used < left ? used : left;
  for (const VmId &id : MemberQueue.dequeue(left, times, [&](const VmId &key) {
         return estimatedBytes(members.at(key).Record);
       }))
    if (id != to.Id || used == 0)
      gossip.Members.push_back(members.at(id).Record);
  return gossip;
}

Gossip GossipComposer::composeFull(const MemberMap &members,
                                   const EntryVm &to) {
  Gossip gossip{OwnDigest, {}, {}};
  size_t bytes = addReceiverRecord(members, to, gossip);
  for (bool ofReceiver : {true, false})
    for (const auto &[id, member] : members) {
      bool here = member.Record.Vm.Domain == to.Domain;
      size_t more = estimatedBytes(member.Record);
      if (here != ofReceiver || id == to.Id || !member.live() ||
          bytes + more > Settings.FullTableBytes)
        continue;
      gossip.Members.push_back(member.Record);
      bytes += more;
    }
  return gossip;
}

} // namespace balsamrack
