#ifndef BALSAMRACK_FLOWS_FLOWSEARCH_H
#define BALSAMRACK_FLOWS_FLOWSEARCH_H

#include <cstdint>
#include <vector>

#include "Balsamrack/Flows/FlowMessages.h"
#include "Balsamrack/Flows/RoutingView.h"

namespace balsamrack {

/// The question layer for one packet: finds out where an established flow
/// lives by asking the owners of its likeliest servers.
///
/// When nobody knows the flow, the answers still tell: an owner that is not
/// fresh and doesn't know the flow proves that it does not live there. So the
/// flow lives on the likeliest server whose owner could prove nothing: because
/// it took the server over (then the flow is accepted there), can't be reached
/// (then the caller is told to come back), or stands in a domain that operators
/// took out (then the flow is given up). While an owner has a later ticket, the
/// flow may live where our rank does not look: then the caller is told to come
/// back, and the ticket arrives meanwhile. Without this rule the death of an
/// owner moves its displaced flows to their first candidate. Not thread-safe.
class FlowSearch {
public:
  /// What the search came to.
  enum class Conclusion {
    Pending,       ///< Answers are missing.
    AskMoreOwners, ///< Those asked so far don't know: see selectOwnersToAsk().
    Found,         ///< An owner knows that the flow lives on server().
    Inferred,      ///< It must live on server(), whose owner is fresh.
    Unreachable,   ///< It must live on server(), which can't be reached now.
    DomainOut,     ///< It must live on server(), whose domain is out.
    LaterTicket,   ///< Nobody knows, but an owner has a later ticket.
    NotFound,      ///< Each likely owner ruled it out.
  };

  /// Starts the search over the rank, up to the \p candidates-th server that
  /// takes new flows, and the first
  /// candidates under earlier configurations. \p rankKey is the flow, or what
  /// stands in for it in the rank.
  void start(const ServiceRoute &route, FlowId rankKey, size_t candidates);
  /// Whom to ask next: first the owners of the second and third candidate,
  /// where nearly all displaced flows live, then all others. Asking all at once
  /// doubles the control traffic after a server joined.
  std::vector<EntryVm> selectOwnersToAsk();
  /// Notes an answer; false when it was not asked for or came before.
  /// \p inForce is the highest ticket in force here.
  bool recordReply(const VmId &from, const FlowReply &reply,
                   TicketNumber inForce);
  /// Notes that no answer will come; false when none was awaited.
  bool recordNoReply(const VmId &from);
  /// Notes that no answer came in time from those still awaited.
  void recordTimeout();
  /// Judges the answers so far.
  Conclusion evaluate() const;
  /// The server concerned. Precondition: judge() says that there is one.
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

  std::vector<Target> Targets;    ///< Likeliest first.
  bool FirstRoundStarted = false; ///< The first owners were asked.
  bool SawLaterTicket = false; ///< An owner that was asked has a later ticket.
  ServerId FoundServer;        ///< Set once an owner knows.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_FLOWSEARCH_H
