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

/// What an owner makes of a forwarded packet's flow.
struct FlowVerdict {
  /// The kinds of verdict.
  enum Kind {
    Known,     ///< The flow lives on the server asked for: dispatch.
    New,       ///< The packet opens the flow, now bound here: dispatch.
    Accepted,  ///< Established, unknown here, now bound here: dispatch.
    Elsewhere, ///< Answer NotRun FlowElsewhere, naming Server.
    Unknown,   ///< Answer NotRun FlowElsewhere, naming no server.
  };
  Kind How = Unknown; ///< The verdict.
  ServerId Server;    ///< Where the flow lives; empty when Unknown.
};

/// Limits of OwnerFlows.
struct OwnerFlowsSettings {
  FlowTableSettings Flows;      ///< Flows on our servers.
  FlowTableSettings Exceptions; ///< Flows ranked here that live elsewhere.
  bool KeepExceptions = true;   ///< Off in measurements only.
  size_t MaxQueued = 20'000;    ///< Exceptions waiting to be sent; beyond it
                                ///< the oldest is dropped, as the question
                                ///< layer still finds its flow.
};

/// A batch for one peer.
struct ExceptionBatch {
  EntryVm To;           ///< Whom to send it to.
  FlowExceptions Batch; ///< What.
};

/// What an owner knows of flows: those on its servers, and those whose first
/// candidate is one of its servers but that live elsewhere. Thread-safe.
///
/// Load that it answers: planned changes and refusals that leave flows on
/// another server than their rank says. Without it a flow's later packets,
/// handed to any daemon, go to a server that has never seen the flow.
class OwnerFlows {
public:
  /// Makes an empty memory. Error kInvalidArgument for settings out of range.
  static absl::StatusOr<std::unique_ptr<OwnerFlows>>
  create(const OwnerFlowsSettings &settings);

  /// Takes the view in force, which says which servers are ours.
  void setView(std::shared_ptr<const RoutingView> view);

  /// Judges a Forward for \p server, one of ours. Known, New and Accepted bind
  /// or refresh the flow; a New flow that admission then refuses must be taken
  /// back by forget(). Accept or ByToken never gives Elsewhere or Unknown.
  FlowVerdict resolveFlow(TimePoint now, const Envelope &head,
                          const ServerId &server, bool accept, bool byToken);
  /// Answers an entry's question.
  FlowReply answerQuestion(TimePoint now, const FlowQuestion &question) const;
  /// Takes in exceptions that another owner sent.
  void addFlows(TimePoint now, const FlowExceptions &exceptions);
  /// What to send to other owners now, at most \p maxBytes together (16 bytes
  /// a flow and a name are counted).
  std::vector<ExceptionBatch> dequeueBatches(TimePoint now, size_t maxBytes);
  /// Forgets a flow that ended or was refused.
  void removeFlow(FlowId flow);
  /// Forgets the flows of a server that is gone or no longer ours.
  void removeServer(const ServerId &server);
  /// Says that flows of \p server, taken over from an owner that handed nothing
  /// over, may exist unknown to us until \p until.
  void setFreshUntil(const ServerId &server, TimePoint until);
  /// The same for as long as a flow of the server may be idle: one that was
  /// silent all the time may still send a packet then.
  void markTakenOver(TimePoint now, const ServerId &server);
  /// The flows of \p server, and those ranked there that live elsewhere: call
  /// before dropServer, send to the next owner, which learns them.
  FlowExceptions exportFlows(TimePoint now, const ServerId &server) const;
  /// Forgets idle flows; call every few seconds.
  void expire(TimePoint now);
  /// Flows that live on a server of ours.
  uint32_t countFlows(const ServerId &server) const;
  /// The flows on a server, in order of their ids.
  std::vector<FlowId> listFlows(TimePoint now, const ServerId &server) const;
  /// Flows and exceptions held.
  size_t size() const;
  /// Bytes held for them.
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
  uint64_t ViewHash = 0;      ///< Of what ranks and owners depend on.
  uint8_t ViewGeneration = 1; ///< Changes with ViewHash; flows told under an
                              ///< older one are told again. Never zero.
  std::map<ServerId, TimePoint> FreshUntil;
  std::mutex QueueLock; ///< Guards Queue. Never held with ViewLock.
  std::deque<QueuedException> Queue;
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_OWNERFLOWS_H
