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

/// Settings of an EntryPart.
struct EntryHandlerSettings {
  EntrySettings Router;          ///< For each shard's router.
  uint16_t PortOffset = 0;       ///< Taken off a port before a service is
                                 ///< looked up.
  uint32_t MaxInProgress = 2000; ///< Packets held at the same time.
  uint32_t Shards = 16;          ///< A power of two.
  uint64_t Seed = 1;             ///< Differs from run to run.
  Recorder *Record = nullptr;    ///< Gets all events; null: none. Outlives it.
};

/// The entry of one daemon: takes packets in, lets its routers decide, and
/// tells callers how each ended. Packets are spread over shards by flow, each
/// with a router under its own lock.
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

  /// Takes a new view into force. Thread-safe.
  void setView(const std::shared_ptr<const RoutingView> &view);
  /// An owner ended a forwarded request. Thread-safe.
  void onOutcome(const VmId &from, Outcome outcome);
  /// An owner answered a question. Thread-safe.
  void onFlowReply(const VmId &from, const FlowReply &reply);
  /// A guardian answered a claim. Thread-safe.
  void onKeyReply(const VmId &from, const KeyReply &reply);
  /// The connection to \p peer broke. Thread-safe.
  void onPeerLost(const VmId &peer);
  /// A message about \p request provably didn't leave for \p peer. Thread-safe.
  void onSendFailed(const VmId &peer, RequestId request);
  /// Lets time pass for routers that wait for it. Thread-safe.
  void tick(TimePoint now);
  /// Packets that have not ended. Thread-safe.
  size_t inProgress() const { return InProgress.load(); }

private:
  struct PendingPacket;
  struct Shard;

  EntryHandler(const EntryHandlerSettings &settings, const Clock &clock,
               const ConfigurationStore &store, PeerSender &sender,
               Telemetry &telemetry);

  Shard &shardOf(RequestId request);
  RequestId nextRequest(FlowId flow);
  void step(Shard &shard, const EntryEvent &event);
  void perform(Shard &shard, const EntryAction &action);
  void forward(Shard &shard, const SendForward &action);
  void endPacket(Shard &shard, const EndPacket &action);
  void sendOrFail(const EntryVm &to, RequestId request, PeerMessage message);
  Answer refuse(const std::string &peer, uint32_t status, Reason why,
                const std::string &detail);

  const EntryHandlerSettings Settings;
  const Clock &Time;
  const ConfigurationStore &Store;
  PeerSender &Sender;
  Telemetry &TelemetrySink;
  std::vector<std::unique_ptr<Shard>> Shards; ///< By low bits of RequestId.
  std::atomic<uint64_t> Sequence{0};          ///< Of requests.
  std::atomic<size_t> InProgress{0};          ///< Packets not ended.
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_ENTRYHANDLER_H
