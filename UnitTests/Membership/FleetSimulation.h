#ifndef BALSAMRACK_UNITTESTS_MEMBERSHIP_FLEETSIMULATION_H
#define BALSAMRACK_UNITTESTS_MEMBERSHIP_FLEETSIMULATION_H

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "Balsamrack/Configuration/ConfigurationStore.h"
#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Membership/Membership.h"
#include "Balsamrack/Membership/OwnershipFence.h"
#include "Balsamrack/Membership/OwnershipTracker.h"
#include "Balsamrack/Peers/PeerMessage.h"

namespace balsamrack {

/// Daemons' control parts in one process under virtual time: the real classes,
/// wired as the daemon wires them, and a queue of messages between them that
/// can lose and delay. For tests and for the slopes of docs/CAPACITY.md. Not
/// thread-safe.
class FleetSimulation {
public:
  /// How messages travel.
  struct Options {
    MembershipSettings Settings; ///< Of all daemons.
    Duration Latency{1'000};     ///< One way.
    double Loss = 0;             ///< Part of the messages that is lost.
    uint64_t Seed = 1;           ///< Of losses and of the daemons.
    Duration Tick{50'000};       ///< Longest time between ticks.
  };
  /// One daemon.
  struct Node {
    EntryVm Vm;                                ///< Its VM.
    Incarnation Run;                           ///< Its run.
    std::unique_ptr<Membership> Members;       ///< As in the daemon.
    std::unique_ptr<OwnershipFence> Fence;     ///< As in the daemon.
    std::unique_ptr<OwnershipTracker> Tracker; ///< As in the daemon.
    std::unique_ptr<ConfigurationStore> Store; ///< As in the daemon.
    std::vector<ServerId> Servers;             ///< Of its domain.
    bool Running = true;                       ///< False: killed.
    bool Paused = false;                       ///< SIGSTOP.
    std::vector<std::function<void()>> Inbox;  ///< Came while paused.
    bool MembersChangePending = false;         ///< Not told on yet.
    std::vector<ServerAcquired> Gains;         ///< All of this run.
    std::vector<MemberRecord> Changes;         ///< All of this run.
    uint64_t SentMessages = 0;                 ///< Since the start.
    uint64_t SentBytes = 0;                    ///< By SizeOf.
    std::map<int64_t, uint64_t> BytesOfSecond; ///< Sent, by virtual second.
  };

  explicit FleetSimulation(const Options &options);

  /// Starts a daemon; a VM that ran before runs anew under a higher run. Not
  /// thread-safe.
  size_t start(const std::string &vm, const std::string &domain);
  /// The platform shows \p vms to every daemon. Not thread-safe.
  void list(const std::vector<EntryVm> &vms);
  /// All daemons know \p servers in \p domain. Not thread-safe.
  void setServers(const std::string &domain,
                  const std::vector<std::string> &servers);
  /// SIGKILL. Not thread-safe.
  void kill(size_t i) { Nodes[i]->Running = false; }
  /// SIGSTOP. Not thread-safe.
  void pause(size_t i) { Nodes[i]->Paused = true; }
  /// SIGCONT: what came in meanwhile is handled before the first tick. Not
  /// thread-safe.
  void resume(size_t i);
  /// SIGTERM. Not thread-safe.
  void leave(size_t i);
  /// Messages for which \p cut is true are lost. Not thread-safe.
  void setCut(std::function<bool(const EntryVm &, const EntryVm &)> cut) {
    Cut = std::move(cut);
  }
  /// Bytes that a message counts. Not thread-safe.
  void setSizeOf(std::function<size_t(const PeerMessage &)> sizeOf) {
    SizeOf = std::move(sizeOf);
  }
  /// Called after each event with its time. Not thread-safe.
  void setCheck(std::function<void()> check) { Check = std::move(check); }
  /// Lets \p span pass. Not thread-safe.
  void run(Duration span);
  /// Lets time pass until \p done or \p limit; says whether it is done. Not
  /// thread-safe.
  bool runUntil(const std::function<bool()> &done, Duration limit);
  /// Daemon \p i takes objects, as read from the platform. Not thread-safe.
  void merge(size_t i, const std::vector<ObjectState> &objects);

  /// Virtual time. Not thread-safe.
  TimePoint now() const { return Now; }
  /// All daemons, those of the past included. Not thread-safe.
  std::vector<std::unique_ptr<Node>> &nodes() { return Nodes; }
  /// Daemons that would dispatch to \p server now, paused ones left out. Not
  /// thread-safe.
  std::vector<VmId> dispatchers(const ServerId &server) const;

private:
  struct Event {
    TimePoint At;               ///< When.
    uint64_t Turn = 0;          ///< First come, first served.
    std::function<void()> What; ///< What happens.
    friend bool operator<(const Event &a, const Event &b) {
      return a.At != b.At ? a.At > b.At : a.Turn > b.Turn;
    }
  };
  void at(TimePoint when, std::function<void()> what);
  void tick(size_t i);
  void post(size_t from, const EntryVm &to, PeerMessage message);
  void deliver(size_t to, size_t from, const PeerMessage &message);
  void step(size_t i, const MembershipEvent &event);
  void step(size_t i, const OwnershipEvent &event);
  void act(size_t i, const MembershipAction &action);
  void act(size_t i, const OwnershipAction &action);
  void mergeInto(size_t i, const std::vector<ObjectState> &objects);
  void publishMembers(size_t i);

  const Options SimulationOptions;          ///< How messages travel.
  SeededRandom Random;                      ///< Of losses.
  TimePoint Now{Duration(1'000'000)};       ///< Virtual time.
  uint64_t Turns = 0;                       ///< Counts events.
  uint64_t LastRun = 0;                     ///< Counts runs.
  std::priority_queue<Event> Events;        ///< To come.
  std::vector<std::unique_ptr<Node>> Nodes; ///< All.
  std::map<VmId, size_t> ByVm;              ///< The latest of each VM.
  std::map<VmId, size_t> ReplyTo;           ///< Whose message is being handled.
  std::vector<EntryVm> Listed;              ///< By the platform.
  std::map<std::string, std::vector<ServerId>> Placed;       ///< By domain.
  std::function<bool(const EntryVm &, const EntryVm &)> Cut; ///< May be empty.
  std::function<size_t(const PeerMessage &)> SizeOf;         ///< May be empty.
  std::function<void()> Check;                               ///< May be empty.
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_MEMBERSHIP_FLEETSIMULATION_H
