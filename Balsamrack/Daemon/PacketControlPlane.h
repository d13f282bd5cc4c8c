#ifndef BALSAMRACK_DAEMON_PACKETCONTROLPLANE_H
#define BALSAMRACK_DAEMON_PACKETCONTROLPLANE_H

#include <array>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Daemon/PacketTelemetry.h"
#include "Balsamrack/Daemon/TaskQueue.h"
#include "Balsamrack/Membership/Membership.h"
#include "Balsamrack/Packets/PacketRoutes.h"
#include "Balsamrack/Peers/DatagramPeers.h"
#include "Balsamrack/Published/PublishedSource.h"
#include "Balsamrack/Published/StateExchange.h"

namespace balsamrack {

/// Gets what a StatePart finds out. Called on its thread; must not block.
class PacketControlListener {
public:
  virtual ~PacketControlListener() = default;
  /// Where packets may go has changed.
  virtual void onRoutesChanged(std::shared_ptr<const PacketRoutes> routes) = 0;
  /// There are \p daemons, and this one is number \p self in the order of
  /// failure domain and id.
  virtual void onFleetChanged(size_t daemons, size_t self) = 0;
  /// Updates came in after a pause.
  virtual void onRefreshed() = 0;
};

/// The thread that knows who is there and what is published: membership, the
/// state exchange and the book of routes, with the socket for peers. Public
/// methods are thread-safe.
class PacketControlPlane {
public:
  /// Starts the thread. \p run orders the lives of this VM. Error as of
  /// Membership::create. Preconditions: all references outlive the part.
  static absl::StatusOr<std::unique_ptr<PacketControlPlane>>
  create(const EntryVm &self, const std::vector<EntryVm> &seeds,
         Incarnation run, uint64_t seed, std::unique_ptr<DatagramPeers> peers,
         PublishedSource &source, const Clock &clock,
         PacketTelemetry &telemetry, PacketControlListener &listener);
  PacketControlPlane(const PacketControlPlane &) = delete;
  PacketControlPlane &operator=(const PacketControlPlane &) = delete;
  ~PacketControlPlane();

  /// True once something is known of everything that is published.
  bool complete() const { return Complete.load(); }
  /// These daemons may be there too.
  void addSeeds(const std::vector<EntryVm> &seeds);
  /// This process was paused.
  void requestAfterPause();
  /// This daemon will end soon: peers shall not count on it.
  void announceLeaving();
  /// Announces that it leaves and ends the thread. Idempotent.
  void stop();

private:
  PacketControlPlane(const EntryVm &self, Incarnation run, uint64_t seed,
                     std::unique_ptr<DatagramPeers> peers,
                     PublishedSource &source, const Clock &clock,
                     PacketTelemetry &telemetry,
                     PacketControlListener &listener);

  absl::Status startMembership();
  void run();
  void wait();
  void handleMessage(TimePoint now, const Address &from, PeerMessage message);
  void stepMembership(TimePoint now, const MembershipEvent &event);
  void onMembershipAction(const MembershipAction &action);
  void restartMembership(TimePoint now, Incarnation run);
  void runExchange(TimePoint now,
                   const std::vector<StateExchangeAction> &actions);
  void startRead(const PublishedRead &read);
  void onReadEnded(TimePoint now, const PublishedRead &read,
                   const absl::StatusOr<PublishedChanges> &result);
  void handleStateChange(TimePoint now, const StateChanged &changed);
  void logMember(const MemberChanged &changed);
  void logSuppressedMembers();
  void logChanges(const StateChanged &changed);
  void logChange(const PublishedObject &object, const VmId &from);
  void publishMembers(TimePoint now);
  void notifyIfRefreshed();
  void send(const EntryVm &to, const PeerMessage &message);
  void sendAll(const std::vector<EntryVm> &to, const PeerMessage &message);
  void publishRoutes(TimePoint now);
  void publishMetrics(TimePoint now);
  EntryVm senderOf(const Address &from) const;

  const EntryVm Self;
  Incarnation Run;
  SeededRandom Random;
  const std::unique_ptr<DatagramPeers> Peers;
  PublishedSource &Source;
  const Clock &Time;
  PacketTelemetry &TelemetrySink;
  PacketControlListener &Listener;
  const std::shared_ptr<TaskQueue> Tasks; ///< For the thread.

  // The thread's own.
  std::vector<EntryVm> Seeds;
  std::unique_ptr<Membership> Members;
  StateExchange Exchange;
  PacketRoutesBuilder Book;
  bool RoutesDue = true;   ///< A snapshot is to be made once all is known.
  TimePoint NextRoutesAt;  ///< Not before; see UpdatePeriod.
  bool MembersDue = true;  ///< The live daemons have changed.
  TimePoint NextMembersAt; ///< Not before; see UpdatePeriod.
  bool AwaitingRefresh =
      false; ///< A pause has ended, and no updates came since.
  TimePoint NextMetricsAt;
  size_t LivePeers = 0;
  size_t LoggedMemberChanges =
      0; ///< Changes with a line since NextMembers was set.
  std::array<uint64_t, 4> SuppressedMemberChanges{}; ///< The others, by state.

  std::atomic<bool> Complete{false};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PACKETCONTROLPLANE_H
