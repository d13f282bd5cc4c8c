#ifndef BALSAMRACK_FLOWS_ENTRYEVENTS_H
#define BALSAMRACK_FLOWS_ENTRYEVENTS_H

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Balsamrack/Flows/FlowMessages.h"
#include "Balsamrack/Flows/RoutingView.h"
#include "Balsamrack/World/Decision.h"
#include "Balsamrack/World/Request.h"

namespace balsamrack {

/// A packet arrived. Precondition: Head.Request is not in use.
struct PacketArrived {
  Envelope Head;     ///< Head.Remaining starts now.
  std::string Token; ///< As sent by the caller; may be empty or invalid.
};

/// An owner reported the outcome of a forwarded request.
struct OwnerReplied {
  VmId From; ///< The owner.
  Outcome
      Result; ///< Result.Server is the server concerned; for FlowNotOnServer,
              ///< the server that the flow is bound to, if known.
};

/// An owner answered a FlowQuestion.
struct FlowReplied {
  VmId From;       ///< The sender.
  FlowReply Reply; ///< The answer.
};

/// A key replica answered a claim.
struct KeyReplied {
  VmId From;      ///< The sender.
  KeyReply Reply; ///< The answer.
};

/// The connection to a peer was lost: no reply will come to messages already
/// sent to it.
struct PeerLost {
  VmId Peer; ///< The peer.
  std::vector<RequestId> NotSent =
      {};              ///< Requests whose Forward to it has not been sent yet.
  RequestId Only = {}; ///< If set, the only request concerned.
};

/// A message of this request was provably not sent to this peer.
struct SendFailed {
  RequestId Request; ///< The request.
  VmId Peer;         ///< The peer.
};

/// The ending of an attempt was provably not sent to a replica of its key.
struct SettleFailed {
  KeySettled Settled; ///< The message.
};

/// The caller closed its connection.
struct CallerLeft {
  RequestId Request; ///< The caller's request.
};

/// The time of EntryRouter::nextWakeup() was reached.
struct EntryTicked {};

/// A new routing view is in force.
struct ViewChanged {
  std::shared_ptr<const RoutingView> View; ///< Not null.
};

/// Input events of an EntryRouter.
using EntryEvent = std::variant<PacketArrived, OwnerReplied, FlowReplied,
                                KeyReplied, PeerLost, SendFailed, CallerLeft,
                                EntryTicked, ViewChanged, SettleFailed>;

/// Send a Forward; the daemon keeps the request's content.
struct SendForward {
  EntryVm To;            ///< The owner.
  RequestId Request;     ///< Request whose content to send.
  ServerId Server;       ///< Target server.
  TicketNumber Ticket;   ///< Ticket in force here.
  bool Accept = false;   ///< As in Forward.
  bool ByToken = false;  ///< As in Forward.
  Duration Remaining{0}; ///< Time until the caller's deadline.
};

/// Send a FlowQuestion.
struct SendQuestion {
  EntryVm To;            ///< The owner to ask.
  FlowQuestion Question; ///< The question.
};

/// Send a KeyClaim.
struct SendClaim {
  EntryVm To;     ///< The key replica.
  KeyClaim Claim; ///< The claim.
};

/// Send a KeySettled.
struct SendSettled {
  EntryVm To;         ///< The key replica.
  KeySettled Settled; ///< The message.
};

/// Send a CancelRequest.
struct SendCancel {
  EntryVm To;        ///< The owner that has the request.
  RequestId Request; ///< The request.
};

/// Report the outcome to the caller. Emitted exactly once per packet.
struct EndPacket {
  Outcome Result;    ///< The outcome.
  std::string Token; ///< For the caller to send with the flow's next packets;
                     ///< may be empty.
};

/// Write a decision to the journal.
struct ExplainEntry {
  Decision Made; ///< The decision.
};

/// Output actions of an EntryRouter.
using EntryAction =
    std::variant<SendForward, SendQuestion, SendClaim, SendSettled, SendCancel,
                 EndPacket, ExplainEntry>;

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_ENTRYEVENTS_H
