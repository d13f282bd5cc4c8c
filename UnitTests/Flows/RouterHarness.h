#ifndef BALSAMRACK_UNITTESTS_FLOWS_ROUTERHARNESS_H
#define BALSAMRACK_UNITTESTS_FLOWS_ROUTERHARNESS_H

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Balsamrack/Flows/EntryRouter.h"
#include "absl/strings/str_cat.h"
#include <gtest/gtest.h>

namespace balsamrack {

inline const ServiceId Booking("booking");

inline Duration ms(int64_t n) { return Duration(n * 1000); }

inline VmId vmId(size_t i) { return VmId(absl::StrCat("vm-", i)); }

inline ServerId serverId(size_t i) {
  return ServerId(absl::StrCat("booking-", i));
}

/// Creates a view of one service: server i is in domain i and owned by vm i.
inline RoutingView makeView(size_t servers, size_t vms = 0) {
  RoutingView v;
  v.Ticket = TicketNumber{10};
  v.Self = {vmId(0), DomainId("d-0"), {}, false};
  ServiceRoute &route = v.Services[Booking];
  route.Settings.Id = Booking;
  for (size_t i = 0; i < servers; ++i) {
    RoutedServer s;
    s.Server.Id = serverId(i);
    s.Server.Service = Booking;
    s.Server.Domain = DomainId(absl::StrCat("d-", i));
    s.Owner = {vmId(i), s.Server.Domain, {}, false};
    s.OwnerReachable = true;
    route.Servers.push_back(s);
  }
  for (size_t i = 0; i < (vms == 0 ? servers : vms); ++i)
    v.KeyReplicas.Members.push_back(
        {vmId(i), DomainId(absl::StrCat("d-", i)), {}, false});
  return v;
}

/// Drives a router under a view and gives access to its actions by kind.
class RouterHarness {
public:
  explicit RouterHarness(const RoutingView &view,
                         const EntrySettings &settings = {})
      : Settings(settings), Router(*EntryRouter::create(settings, 1)) {
    setView(view);
  }

  /// Sets the view in force.
  void setView(const RoutingView &view) {
    View = *RoutingView::create(view);
    step(ViewChanged{View});
  }
  std::vector<EntryAction> step(const EntryEvent &event) {
    Last = Router->step(Now, event);
    return Last;
  }
  /// Sends a packet with request id 1.
  void arrive(bool first, Semantics kind = Semantics::RunOnce,
              const std::string &token = "", KeyDigest key = {}) {
    Envelope head;
    head.Request = RequestId{1};
    head.Flow = Flow;
    head.Service = Booking;
    head.FirstOfFlow = first;
    head.Kind = kind;
    head.Key = key;
    head.Remaining = ms(10'000);
    step(PacketArrived{head, token});
  }
  /// The owner of the last Forward reports an ending.
  void reply(OutcomeKind how, Reason why, const ServerId &server) {
    Outcome o;
    o.Request = RequestId{1};
    o.Kind = how;
    o.Cause = why;
    o.Server = server;
    step(OwnerReplied{LastForward.To.Id, o});
  }
  void flowReply(const VmId &from, const std::string &server, bool fresh,
                 TicketNumber ticket = TicketNumber{10}) {
    step(FlowReplied{from,
                     {RequestId{1}, Flow, ServerId(server), fresh, ticket}});
  }
  /// All actions of a kind in the last step.
  template <class Kind> std::vector<Kind> all() {
    std::vector<Kind> found;
    for (const EntryAction &it : Last)
      if (const Kind *action = std::get_if<Kind>(&it))
        found.push_back(*action);
    return found;
  }
  /// Returns the Forward of the last step. Fails the test if there is none.
  SendForward forward() {
    auto found = all<SendForward>();
    EXPECT_EQ(found.size(), 1U);
    if (!found.empty())
      LastForward = found[0];
    return LastForward;
  }
  /// "ending/reason" of the last step, or "-" if no packet ended.
  std::string ending() {
    auto found = all<EndPacket>();
    if (found.empty())
      return "-";
    EXPECT_EQ(found.size(), 1U);
    End = found[0];
    return absl::StrCat(outcomeKindName(End.Result.Kind), "/",
                        reasonName(End.Result.Cause));
  }
  /// The flow's candidates under the view, best first.
  std::vector<ServerId> candidates() const {
    const ServiceRoute &route = *View->findService(Booking);
    std::vector<ServerId> ids;
    for (size_t i : route.Rank.topCandidates(Flow, route.Servers.size()))
      ids.push_back(route.Servers[i].Server.Id);
    return ids;
  }

  const EntrySettings Settings;
  std::unique_ptr<EntryRouter> Router;
  std::shared_ptr<const RoutingView> View;
  TimePoint Now{Duration(1'000'000'000)};
  FlowId Flow{77};
  std::vector<EntryAction> Last;
  SendForward LastForward;
  EndPacket End;
};

/// Returns the route of a server in a view that is being built.
inline RoutedServer &serverIn(RoutingView &view, const ServerId &id) {
  for (RoutedServer &it : view.Services[Booking].Servers)
    if (it.Server.Id == id)
      return it;
  ADD_FAILURE() << "no server " << id.str();
  return view.Services[Booking].Servers.front();
}

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_FLOWS_ROUTERHARNESS_H
