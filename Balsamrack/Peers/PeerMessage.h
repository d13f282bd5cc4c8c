#ifndef BALSAMRACK_PEERS_PEERMESSAGE_H
#define BALSAMRACK_PEERS_PEERMESSAGE_H

#include <variant>

#include "Balsamrack/Configuration/ConfigurationMessages.h"
#include "Balsamrack/Flows/FlowMessages.h"
#include "Balsamrack/Membership/MembershipMessages.h"
#include "Balsamrack/Published/PublishedMessages.h"
#include "Balsamrack/World/Request.h"

namespace balsamrack {

/// First message on a connection, both ways.
struct Hello {
  EntryVm Vm;      ///< Who speaks.
  Incarnation Run; ///< Which run of it.
};

/// An entry passes a request on to a backend server's owner. Sent at most once
/// for each attempt and owner.
struct Forward {
  Envelope Head;       ///< What decisions look at.
  ServerId Server;     ///< For this server.
  TicketNumber Ticket; ///< Highest ticket in force at the entry.
  bool Accept =
      false; ///< Take an unknown established flow in: nobody else knew it.
  bool ByToken = false; ///< The caller's token named the server: the flow lives
                        ///< there even if the owner forgot.
  Message Content;      ///< Passed on as it is.
};

/// The owner tells the entry how a forwarded request ended.
struct OutcomeReport {
  Outcome Result; ///< With the answer, when there is one.
};

/// The entry's caller is gone or its time is over.
struct CancelRequest {
  RequestId Request; ///< The attempt to give up.
};

/// All that daemons say to each other.
using PeerMessage =
    std::variant<Hello, Ping, PingRequest, Ack, StateRequest, StateUpdate,
                 OwnershipHandOver, Forward, OutcomeReport, CancelRequest,
                 FlowQuestion, FlowReply, FlowExceptions, KeyClaim, KeyReply,
                 KeySettled, KeysHandedOver, PublishedDigest, PublishedRequest,
                 PublishedUpdate>;

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERMESSAGE_H
