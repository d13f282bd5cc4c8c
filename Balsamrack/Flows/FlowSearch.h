#ifndef BALSAMRACK_FLOWS_FLOWSEARCH_H
#define BALSAMRACK_FLOWS_FLOWSEARCH_H

#include <cstdint>
#include <vector>

#include "Balsamrack/Flows/FlowMessages.h"
#include "Balsamrack/Flows/RoutingView.h"

namespace balsamrack {

/// Finds the server of an established flow for one packet, by sending questions
/// to the owners of its likeliest servers.
///
/// If no owner knows the flow, its server is inferred by elimination. An owner
/// that is not fresh and does not know the flow proves that the flow is not
/// bound to its servers. So the flow is bound to the likeliest server whose
/// owner could not prove that: because the owner recently took the server over
/// (the flow is accepted there), is unreachable (the caller is told to retry
/// later), or is in a domain that operators took out of service (the flow is
/// given up). If an owner has a later ticket, the flow may be bound to a server
/// that the local rank does not include; the caller is told to retry later, and
/// the ticket arrives meanwhile. Without this inference, the death of an owner
/// would move its displaced flows to their first candidate. Not thread-safe.
class FlowSearch {
public:
  /// Result of the search.
  enum class Conclusion {
    Pending,       ///< Replies are outstanding.
    AskMoreOwners, ///< No owner asked so far knows the flow; ask those of
                   ///< selectOwnersToAsk().
    Found,         ///< An owner reported that the flow is bound to server().
    Inferred,      ///< The flow must be bound to server(), whose owner is
                   ///< fresh.
    Unreachable,   ///< The flow must be bound to server(), which is
                   ///< unreachable.
    DomainOut,     ///< The flow must be bound to server(), whose domain is out
                   ///< of service.
    LaterTicket,   ///< No owner knows the flow, but one has a later ticket.
    NotFound,      ///< Every owner asked ruled its servers out.
  };

  /// Starts a search over the flow's rank order, up to the \p candidates-th
  /// server that accepts new flows, and over its first candidates under earlier
  /// configurations. \p rankKey is the flow, or the value that replaces it for
  /// ranking.
  void start(const ServiceRoute &route, FlowId rankKey, size_t candidates);
  /// Returns the owners to ask next and records them as asked: first those of
  /// the second and third candidate, to which nearly all displaced flows are
  /// bound, then all others. Asking all of them at once would double the
  /// control traffic after a server joins.
  std::vector<EntryVm> selectOwnersToAsk();
  /// Records a reply; false if it is unsolicited or a duplicate. \p inForce is
  /// the highest ticket in force here.
  bool recordReply(const VmId &from, const FlowReply &reply,
                   TicketNumber inForce);
  /// Records that an owner will not reply; false if no reply was outstanding.
  bool recordNoReply(const VmId &from);
  /// Records that the outstanding replies timed out.
  void recordTimeout();
  /// Evaluates the replies received so far.
  Conclusion evaluate() const;
  /// Server of the conclusion. Precondition: evaluate() returned Found,
  /// Inferred, Unreachable or DomainOut.
  const ServerId &server() const;

private:
  enum class State {
    NotAsked,
    Asked,
    NoReply,
    RuledOut,
    Possible,
    Unreachable,
    DomainOut
  };
  struct Target {
    ServerId Server;
    EntryVm Owner;
    State Status = State::NotAsked;
  };
  void addTarget(const RoutedServer &server);
  void addOwnerToAsk(const Target &target, std::vector<EntryVm> &owners);
  const Target *findLikeliestTarget() const;

  std::vector<Target> Targets;    ///< In decreasing likelihood.
  bool FirstRoundStarted = false; ///< The first round of questions was sent.
  bool SawLaterTicket = false;    ///< An owner reported a later ticket.
  ServerId FoundServer; ///< Set once an owner reports the flow's server.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_FLOWSEARCH_H
