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

/// Simulates the control plane of a fleet in one process under virtual time:
/// the production classes, connected as in the daemon, and a message queue with
/// delay and loss. For tests and for the measurements in docs/CAPACITY.md. Not
/// thread-safe.
class FleetSimulation {
public:
  /// Parameters of the simulation.
  struct Options {
    MembershipSettings Settings; ///< Settings of all daemons.
    Duration Latency{1'000};     ///< One-way latency.
    double Loss = 0;             ///< Fraction of messages that is lost.
    uint64_t Seed = 1;           ///< Seed of message loss and of the daemons.
    Duration Tick{50'000};       ///< Longest time between ticks.
  };
  /// One daemon.
  struct Node {
    EntryVm Vm;                                ///< The VM.
    Incarnation Run;                           ///< Incarnation.
    std::unique_ptr<Membership> Members;       ///< As in the daemon.
    std::unique_ptr<OwnershipFence> Fence;     ///< As in the daemon.
    std::unique_ptr<OwnershipTracker> Tracker; ///< As in the daemon.
    std::unique_ptr<ConfigurationStore> Store; ///< As in the daemon.
    std::vector<ServerId> Servers;             ///< Servers of its domain.
    bool Running = true;                       ///< False once killed.
    bool Paused = false;                       ///< Stopped by SIGSTOP.
    std::vector<std::function<void()>>
        Inbox; ///< Messages received while paused.
    bool MembersChangePending =
        false; ///< Change not yet passed to the tracker.
    std::vector<ServerAcquired> Acquired; ///< All servers acquired.
    std::vector<MemberRecord> Changes;    ///< All member changes.
    uint64_t SentMessages = 0;            ///< Since the start.
    uint64_t SentBytes = 0;               ///< By SizeOf.
    std::map<int64_t, uint64_t>
        BytesOfSecond; ///< Bytes sent in each virtual second.
  };

  explicit FleetSimulation(const Options &options);

  /// Starts a daemon and returns its index; a VM that ran before gets a higher
  /// incarnation. Not thread-safe.
  size_t start(const std::string &vm, const std::string &domain);
  /// Sets the platform's list of VMs for all daemons. Not thread-safe.
  void list(const std::vector<EntryVm> &vms);
  /// Sets the servers of \p domain for its daemons. Not thread-safe.
  void setServers(const std::string &domain,
                  const std::vector<std::string> &servers);
  /// Simulates SIGKILL. Not thread-safe.
  void kill(size_t i) { Nodes[i]->Running = false; }
  /// Simulates SIGSTOP. Not thread-safe.
  void pause(size_t i) { Nodes[i]->Paused = true; }
  /// Simulates SIGCONT: pending messages are handled before the next tick. Not
  /// thread-safe.
  void resume(size_t i);
  /// Simulates SIGTERM. Not thread-safe.
  void leave(size_t i);
  /// Drops all messages for which \p cut returns true. Not thread-safe.
  void setCut(std::function<bool(const EntryVm &, const EntryVm &)> cut) {
    Cut = std::move(cut);
  }
  /// Sets the function that gives the size of a message in bytes. Not
  /// thread-safe.
  void setSizeOf(std::function<size_t(const PeerMessage &)> sizeOf) {
    SizeOf = std::move(sizeOf);
  }
  /// Sets a check that is called after each event. Not thread-safe.
  void setCheck(std::function<void()> check) { Check = std::move(check); }
  /// Runs the simulation for \p span. Not thread-safe.
  void run(Duration span);
  /// Runs the simulation until \p done returns true or \p limit has passed;
  /// returns whether it is done. Not thread-safe.
  bool runUntil(const std::function<bool()> &done, Duration limit);
  /// Merges \p objects, as read from the platform, into daemon \p i. Not
  /// thread-safe.
  void merge(size_t i, const std::vector<ObjectState> &objects);

  /// Returns the virtual time. Not thread-safe.
  TimePoint now() const { return Now; }
  /// Returns all daemons, killed and replaced ones included. Not thread-safe.
  std::vector<std::unique_ptr<Node>> &nodes() { return Nodes; }
  /// Returns the daemons that would dispatch to \p server now, except paused
  /// ones. Not thread-safe.
  std::vector<VmId> dispatchers(const ServerId &server) const;

private:
  struct Event {
    TimePoint At;               ///< Due time.
    uint64_t Turn = 0;          ///< Order of events with the same due time.
    std::function<void()> What; ///< The event.
    friend bool operator<(const Event &a, const Event &b) {
      return a.At != b.At ? a.At > b.At : a.Turn > b.Turn;
    }
  };
  void schedule(TimePoint when, std::function<void()> what);
  void tick(size_t i);
  void post(size_t from, const EntryVm &to, PeerMessage message);
  void deliver(size_t to, size_t from, const PeerMessage &message);
  void step(size_t i, const MembershipEvent &event);
  void step(size_t i, const OwnershipEvent &event);
  void perform(size_t i, const MembershipAction &action);
  void perform(size_t i, const OwnershipAction &action);
  void mergeInto(size_t i, const std::vector<ObjectState> &objects);
  void publishMembers(size_t i);

  const Options SimulationOptions;          ///< Parameters.
  SeededRandom Random;                      ///< Source of message loss.
  TimePoint Now{Duration(1'000'000)};       ///< Virtual time.
  uint64_t LastTurn = 0;                    ///< Number of events.
  uint64_t LastRun = 0;                     ///< Last incarnation assigned.
  std::priority_queue<Event> Events;        ///< Pending events.
  std::vector<std::unique_ptr<Node>> Nodes; ///< All daemons.
  std::map<VmId, size_t> ByVm;              ///< Latest daemon of each VM.
  std::map<VmId, size_t> ReplyTo; ///< Sender of the message being handled.
  std::vector<EntryVm> Listed;    ///< The platform's list.
  std::map<std::string, std::vector<ServerId>> Placed; ///< Servers by domain.
  std::function<bool(const EntryVm &, const EntryVm &)> Cut; ///< May be empty.
  std::function<size_t(const PeerMessage &)> SizeOf;         ///< May be empty.
  std::function<void()> Check;                               ///< May be empty.
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_MEMBERSHIP_FLEETSIMULATION_H
