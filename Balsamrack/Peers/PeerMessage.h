#ifndef BALSAMRACK_PEERS_PEERMESSAGE_H
#define BALSAMRACK_PEERS_PEERMESSAGE_H

#include <variant>

#include "Balsamrack/Configuration/ConfigurationMessages.h"
#include "Balsamrack/Flows/FlowMessages.h"
#include "Balsamrack/Membership/MembershipMessages.h"
#include "Balsamrack/Packets/RelayedPacket.h"
#include "Balsamrack/Published/PublishedMessages.h"
#include "Balsamrack/World/Request.h"

namespace balsamrack {

/// First message on a connection, in both directions.
struct Hello {
  EntryVm Vm;                 ///< VM of the sender.
  Incarnation Run;            ///< Incarnation of the sender.
  bool AcceptsGoAway = false; ///< The sender replies to a GoAwayFrame.
};

/// Passes a request from an entry VM to the owner of a backend server. Sent at
/// most once for each attempt and owner.
struct Forward {
  Envelope Head;       ///< Envelope of the request.
  ServerId Server;     ///< Server chosen by the entry VM.
  TicketNumber Ticket; ///< Highest ticket in force at the entry VM.
  bool Accept = false; ///< Accept an established flow that the owner does not
                       ///< know: no other daemon knew it.
  bool ByToken =
      false; ///< The caller's token named the server: the flow belongs to it
             ///< even if the owner no longer knows the flow.
  Message Content; ///< Passed to the server unchanged.
};

/// Reports the outcome of a forwarded request from the owner to the entry VM.
struct OutcomeReport {
  Outcome Result; ///< Includes the answer, if any.
};

/// Cancels a forwarded request whose caller disconnected or whose time is over.
struct CancelRequest {
  RequestId Request; ///< The attempt to cancel.
};

/// All messages between daemons.
using PeerMessage =
    std::variant<Hello, Ping, PingRequest, Ack, StateRequest, StateUpdate,
                 OwnershipHandOver, Forward, OutcomeReport, CancelRequest,
                 FlowQuestion, FlowReply, FlowExceptions, KeyClaim, KeyReply,
                 KeySettled, KeysHandedOver, PublishedDigest, PublishedRequest,
                 PublishedUpdate, RelayedPacket>;

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERMESSAGE_H
