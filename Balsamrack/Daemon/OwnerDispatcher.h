#ifndef BALSAMRACK_DAEMON_OWNERDISPATCHER_H
#define BALSAMRACK_DAEMON_OWNERDISPATCHER_H

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Daemon/PeerSender.h"
#include "Balsamrack/Daemon/Telemetry.h"
#include "Balsamrack/Decisions/OwnerEvents.h"
#include "Balsamrack/Decisions/OwnerSettings.h"
#include "Balsamrack/Decisions/ServiceOwner.h"
#include "Balsamrack/Flows/OwnerFlows.h"
#include "Balsamrack/Http/ServerLink.h"
#include "Balsamrack/Membership/OwnershipFence.h"
#include "Balsamrack/Replay/Recorder.h"

namespace balsamrack {

/// All servers that this daemon owns, by service.
using OwnedServers = std::map<ServiceId, ServersChanged>;

/// Settings of an OwnerDispatcher.
struct OwnerDispatcherSettings {
  OwnerSettings Limits;             ///< Limits of each service's owner.
  Duration HealthPeriod{1'000'000}; ///< Interval of health probes to a server.
  uint64_t Seed = 1;                ///< Unique to each run.
  Recorder *Record = nullptr;       ///< Optional event recorder; outlives this.
};

/// Dispatches all requests to the backend servers that this daemon owns. Each
/// service has a shard, with a ServiceOwner under its own lock.
class OwnerDispatcher {
public:
  using ConditionSink = std::function<void(const ServerCondition &)>;

  /// Precondition: all references outlive the result. \p onCondition is called
  /// without a lock held. Thread-safe.
  OwnerDispatcher(const OwnerDispatcherSettings &settings, const Clock &clock,
                  const OwnershipFence &fence, OwnerFlows &flows,
                  ServerLink &link, PeerSender &sender, Telemetry &telemetry,
                  ConditionSink onCondition);
  ~OwnerDispatcher();

  /// Handles a request forwarded by an entry. Each leads to exactly one
  /// OutcomeReport to \p from. Thread-safe.
  void onForward(const EntryVm &from, Forward forward);
  /// Cancels a request that its entry has abandoned. Thread-safe.
  void onCancel(RequestId request);
  /// Sets the owned servers. Once it returns, nothing more is dispatched to a
  /// server that is not among them. Thread-safe.
  void setOwned(const OwnedServers &owned);
  /// Number of requests in progress at \p server; unknown once the server is no
  /// longer owned. Thread-safe.
  uint32_t inProgressAt(const ServerId &server) const;
  /// Processes timeouts, health probes that are due and changes of authority.
  /// Thread-safe.
  void tick(TimePoint now, bool mayDispatch);
  /// Rejects new requests from now on. Thread-safe.
  void beginShutdown();
  /// True if no request is queued or in progress. Thread-safe.
  bool idle() const;
  /// State of every owned server. Thread-safe.
  std::vector<ServerReport> report() const;
  /// True if a dispatch may be sent now. Called by the link's threads right
  /// before they send one. Thread-safe.
  bool mayDispatch() const { return Fence.mayDispatch(Time.now()); }

private:
  struct PendingRequest;
  struct Shard;

  Shard &shardOf(const ServiceId &service);
  std::vector<Shard *> allShards() const;
  std::vector<OwnerAction> stepOwner(Shard &shard, const OwnerEvent &event);
  void step(Shard &shard, const OwnerEvent &event);
  void performAll(Shard &shard, std::vector<OwnerAction> actions);
  void updateAuthority(Shard &shard, bool mayDispatch);
  void dispatch(Shard &shard, const StartDispatch &action);
  void perform(Shard &shard, OwnerAction action);
  void onDispatchEnded(Shard &shard, RequestId request, const ServerId &server,
                       TimePoint start, const std::string &span,
                       DispatchResult result);
  void endRequest(Shard &shard, Outcome outcome);
  void report(const EntryVm &to, Outcome outcome);
  void probeHealth(Shard &shard, TimePoint now);

  const OwnerDispatcherSettings Settings;
  const Clock &Time;
  const OwnershipFence &Fence;
  OwnerFlows &Flows;
  ServerLink &Link;
  PeerSender &Sender;
  Telemetry &TelemetrySink;
  const ConditionSink OnCondition;
  mutable std::mutex ShardsLock; ///< Guards Shards; not nested in shard locks.
  std::map<ServiceId, std::unique_ptr<Shard>> Shards; ///< Never shrinks.
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_OWNERDISPATCHER_H
