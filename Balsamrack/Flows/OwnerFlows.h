#ifndef BALSAMRACK_FLOWS_OWNERFLOWS_H
#define BALSAMRACK_FLOWS_OWNERFLOWS_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "Balsamrack/Flows/FlowMessages.h"
#include "Balsamrack/Flows/FlowTable.h"
#include "Balsamrack/Flows/RoutingView.h"
#include "Balsamrack/World/Request.h"
#include "absl/status/statusor.h"

namespace balsamrack {

/// An owner's verdict on the flow of a forwarded packet.
struct FlowVerdict {
  /// Kind of the verdict.
  enum Kind {
    Known,     ///< The flow is bound to the requested server: dispatch.
    New,       ///< The packet opens the flow, which is now bound to the
               ///< requested server: dispatch.
    Accepted,  ///< An established flow that was unknown here is now bound to
               ///< the requested server: dispatch.
    Elsewhere, ///< Reply NotRun with FlowNotOnServer and Server.
    Unknown,   ///< Reply NotRun with FlowNotOnServer and no server.
  };
  Kind How = Unknown; ///< Kind of the verdict.
  ServerId Server;    ///< Server of the flow; empty if Unknown.
};

/// Limits of OwnerFlows.
struct OwnerFlowsSettings {
  FlowTableSettings Flows;      ///< For flows on servers of this owner.
  FlowTableSettings Exceptions; ///< For flows whose first candidate is a server
                                ///< of this owner, but that are bound to
                                ///< another server.
  bool KeepExceptions = true;   ///< False in measurements only.
  size_t MaxQueued = 20'000;    ///< Exceptions queued for sending. Beyond it
                                ///< the oldest is dropped, since a flow search
                                ///< still finds the flow.
};

/// Exceptions to send to one peer.
struct ExceptionBatch {
  EntryVm To;           ///< Receiver.
  FlowExceptions Batch; ///< Exceptions of one service.
};

/// Flows known to an owner: those bound to its servers, and exceptions, whose
/// first candidate is one of its servers but which are bound to another server.
/// Thread-safe.
///
/// Planned changes and refusals leave flows on other servers than their first
/// candidates. Without these records, later packets of such a flow, which may
/// arrive at any daemon, would go to a server that has never seen the flow.
class OwnerFlows {
public:
  /// Creates empty tables. Error kInvalidArgument for settings out of range.
  static absl::StatusOr<std::unique_ptr<OwnerFlows>>
  create(const OwnerFlowsSettings &settings);

  /// Sets the view in force, which defines the servers of this owner.
  void setView(std::shared_ptr<const RoutingView> view);

  /// Resolves the flow of a Forward for \p server. Precondition: this daemon
  /// owns \p server. Known, New and Accepted bind or refresh the flow; if
  /// admission then refuses a New flow, the caller must undo that by
  /// removeFlow(). Never returns Elsewhere or Unknown if \p accept or \p
  /// byToken is set.
  FlowVerdict resolveFlow(TimePoint now, const Envelope &head,
                          const ServerId &server, bool accept, bool byToken);
  /// Answers a question of an entry.
  FlowReply answerQuestion(TimePoint now, const FlowQuestion &question) const;
  /// Adds flows that another owner sent as exceptions or handed over.
  void addFlows(TimePoint now, const FlowExceptions &exceptions);
  /// Dequeues the exceptions to send to other owners now, at most \p maxBytes
  /// in total (counted as 16 bytes plus the server's name per flow, and 48
  /// bytes per batch).
  std::vector<ExceptionBatch> dequeueBatches(TimePoint now, size_t maxBytes);
  /// Removes a flow that ended or was refused.
  void removeFlow(FlowId flow);
  /// Removes the flows of a server that was deleted or has another owner now.
  void removeServer(const ServerId &server);
  /// Marks \p server as fresh until \p until: it was taken over from an owner
  /// without a hand-over, so it may have flows that are unknown here.
  void setFreshUntil(const ServerId &server, TimePoint until);
  /// Marks \p server as fresh for the idle timeout of its flows, since a flow
  /// that was idle all that time may still send a packet.
  void markTakenOver(TimePoint now, const ServerId &server);
  /// Exports the flows bound to \p server, and those that rank it first but are
  /// bound to other servers. Call it before removeServer() and send the result
  /// to the next owner, which passes it to addFlows().
  FlowExceptions exportFlows(TimePoint now, const ServerId &server) const;
  /// Removes idle flows. Call it every few seconds.
  void expire(TimePoint now);
  /// Number of flows bound to a server of this owner.
  uint32_t countFlows(const ServerId &server) const;
  /// Flows bound to a server, in order of their ids.
  std::vector<FlowId> listFlows(TimePoint now, const ServerId &server) const;
  /// Number of flows and exceptions stored.
  size_t size() const;
  /// Memory used for them in bytes.
  size_t bytes() const;

private:
  OwnerFlows(std::unique_ptr<FlowTable> flows,
             std::unique_ptr<FlowTable> exceptions,
             const OwnerFlowsSettings &settings);
  std::shared_ptr<const RoutingView> view() const;
  bool isFresh(TimePoint now, const ServerId &server) const;
  FlowVerdict bindFlow(TimePoint now, const Envelope &head,
                       const ServerId &server, FlowVerdict::Kind how);
  void announceDisplacedFlow(TimePoint now, const RoutingView &view,
                             const Envelope &head, const ServerId &server);
  std::optional<ServerId> findBoundServer(TimePoint now,
                                          const RoutingView &view,
                                          const ServiceId &service,
                                          FlowId flow) const;
  void enqueueException(const EntryVm &to, const ServiceId &service,
                        FlowId flow, const ServerId &server);

  struct QueuedException {
    EntryVm To;
    ServiceId Service;
    FlowException Flow;
  };

  const OwnerFlowsSettings Settings;
  std::unique_ptr<FlowTable> Flows;
  std::unique_ptr<FlowTable> Exceptions;
  mutable std::mutex ViewLock; ///< Guards View, ViewGeneration and FreshUntil.
  std::shared_ptr<const RoutingView> View;
  uint64_t ViewHash = 0;      ///< Hash of the view's ranks and owners.
  uint8_t ViewGeneration = 1; ///< Changes with ViewHash; flows that were
                              ///< announced under an older generation are
                              ///< announced again. Never zero.
  std::map<ServerId, TimePoint> FreshUntil;
  std::mutex QueueLock; ///< Guards Queue. Never held with ViewLock.
  std::deque<QueuedException> Queue;
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_OWNERFLOWS_H
