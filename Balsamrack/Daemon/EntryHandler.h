#ifndef BALSAMRACK_DAEMON_ENTRYHANDLER_H
#define BALSAMRACK_DAEMON_ENTRYHANDLER_H

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "Balsamrack/Configuration/ConfigurationStore.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Daemon/PeerSender.h"
#include "Balsamrack/Daemon/Telemetry.h"
#include "Balsamrack/Flows/EntryEvents.h"
#include "Balsamrack/Flows/EntrySettings.h"
#include "Balsamrack/Http/CallerPort.h"
#include "Balsamrack/Replay/Recorder.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// Settings of an EntryHandler.
struct EntryHandlerSettings {
  EntrySettings Router;          ///< Settings of each shard's router.
  uint16_t PortOffset = 0;       ///< Subtracted from a port before lookup.
  uint32_t MaxInProgress = 2000; ///< Maximum number of packets in progress.
  uint32_t Shards = 16;          ///< A power of two.
  uint64_t Seed = 1;             ///< Unique to each run.
  Recorder *Record = nullptr;    ///< Optional event recorder; outlives this.
};

/// Entry of a daemon: receives packets from callers, routes them to the owners
/// of servers and responds with the outcome. Packets are sharded by flow; each
/// shard has a router under its own lock.
class EntryHandler final : public CallerHandler {
public:
  /// Precondition: all references outlive the result. Error kInvalidArgument
  /// (step read-settings) for settings out of range. Thread-safe.
  static absl::StatusOr<std::unique_ptr<EntryHandler>>
  create(const EntryHandlerSettings &settings, const Clock &clock,
         const ConfigurationStore &store, PeerSender &sender,
         Telemetry &telemetry);
  ~EntryHandler() override;

  Answer serve(uint16_t port, const std::string &peerIp,
               Message message) override;

  /// Applies a new routing view. Thread-safe.
  void setView(const std::shared_ptr<const RoutingView> &view);
  /// Handles the outcome of a forwarded request, as reported by its owner.
  /// Thread-safe.
  void onOutcome(const VmId &from, Outcome outcome);
  /// Handles an owner's reply to a flow question. Thread-safe.
  void onFlowReply(const VmId &from, const FlowReply &reply);
  /// Handles a reply to a claim of an idempotency key. Thread-safe.
  void onKeyReply(const VmId &from, const KeyReply &reply);
  /// Handles the loss of the connection to \p peer. Thread-safe.
  void onPeerLost(const VmId &peer);
  /// Handles a failed send: a message about \p request was certainly not sent
  /// to \p peer. Thread-safe.
  void onSendFailed(const VmId &peer, RequestId request);
  /// The ending of an attempt was not sent to a replica of its key.
  /// Thread-safe.
  void onSettleFailed(const KeySettled &settled);
  /// Processes the timeouts of all routers that are due at \p now. Thread-safe.
  void tick(TimePoint now);
  /// Number of packets in progress. Thread-safe.
  size_t inProgress() const { return InProgress.load(); }

private:
  struct PendingPacket;
  struct Shard;

  EntryHandler(const EntryHandlerSettings &settings, const Clock &clock,
               const ConfigurationStore &store, PeerSender &sender,
               Telemetry &telemetry);

  Shard &shardOf(RequestId request);
  RequestId nextRequest(FlowId flow);
  std::vector<EntryAction> stepRouter(Shard &shard, const EntryEvent &event);
  void performAll(Shard &shard, const std::vector<EntryAction> &actions);
  void step(Shard &shard, const EntryEvent &event);
  void perform(Shard &shard, const EntryAction &action);
  void forward(Shard &shard, const SendForward &action);
  void endPacket(Shard &shard, const EndPacket &action);
  void settle(const EntryVm &to, const KeySettled &settled);
  void sendOrFail(const EntryVm &to, RequestId request, PeerMessage message);
  Answer refuse(const std::string &peer, uint32_t status, Reason why,
                const std::string &detail);

  const EntryHandlerSettings Settings;
  const Clock &Time;
  const ConfigurationStore &Store;
  PeerSender &Sender;
  Telemetry &TelemetrySink;
  std::vector<std::unique_ptr<Shard>> Shards; ///< By low bits of RequestId.
  std::atomic<uint64_t> Sequence{0}; ///< Number of request ids generated.
  std::atomic<size_t> InProgress{0}; ///< Packets in progress.
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_ENTRYHANDLER_H
