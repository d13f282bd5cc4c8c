#ifndef BALSAMRACK_REPLAY_TRACEFIELDS_H
#define BALSAMRACK_REPLAY_TRACEFIELDS_H

#include "Balsamrack/Decisions/OwnerActions.h"
#include "Balsamrack/Decisions/OwnerEvents.h"
#include "Balsamrack/Flows/EntryEvents.h"
#include "Balsamrack/Replay/TraceArchive.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

// Each function lists the fields of one struct, for both writing and reading
// (Ar is TraceWriter or TraceReader). Message bodies are omitted, since no
// decision depends on them.

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<EntryVm> m) {
  ar("vm", m.Id);
  ar("domain", m.Domain);
  ar("address", m.PeerAt);
  ar("leaving", m.Leaving);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<KeyDigest> m) {
  ar("high", m.High);
  ar("low", m.Low);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<Service> m) {
  ar("id", m.Id);
  ar("ports", m.Ports);
  ar("queue_per_server", m.QueuePerServer);
  ar("default_timeout_us", m.DefaultTimeout);
  ar("expected_service_time_us", m.ExpectedServiceTime);
  ar("flow_idle_timeout_us", m.FlowIdleTimeout);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<BackendServer> m) {
  ar("id", m.Id);
  ar("service", m.Service);
  ar("domain", m.Domain);
  ar("address", m.At);
  ar("slots", m.Slots);
  ar("connections", m.Connections);
  ar("weight", m.Weight);
  ar.oneOf("mode", m.Mode, ServerMode::Draining);
  ar("drain_limit_us", m.DrainLimit);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<ServerCondition> m) {
  ar("server", m.Server);
  ar("instance", m.Instance);
  ar("warm", m.Warm);
  ar("version", m.Version);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<Envelope> m) {
  ar("request", m.Request);
  ar("flow", m.Flow);
  ar("caller", m.Caller);
  ar("service", m.Service);
  ar("first", m.FirstOfFlow);
  ar.oneOf("semantics", m.Kind, Semantics::RunOnce);
  ar("key", m.Key);
  ar("remaining_us", m.Remaining);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<Outcome> m) {
  ar("request", m.Request);
  ar.oneOf("ending", m.Kind, OutcomeKind::GivenUp);
  ar.oneOf("reason", m.Cause, Reason::UnknownService);
  ar("retry_after_us", m.RetryAfter);
  ar("server", m.Server);
  ar("step", m.AtStep);
  ar("peer", m.AtPeer);
}

// Events of the entry.

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<PacketArrived> m) {
  ar("head", m.Head);
  ar("token", m.Token);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<OwnerReplied> m) {
  ar("from", m.From);
  ar("outcome", m.Result);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<FlowReply> m) {
  ar("request", m.Request);
  ar("flow", m.Flow);
  ar("server", m.Server);
  ar("fresh", m.Fresh);
  ar("ticket", m.Ticket);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<FlowReplied> m) {
  ar("from", m.From);
  ar("reply", m.Reply);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<KeyReply> m) {
  ar("key", m.Key);
  ar("request", m.Request);
  ar.oneOf("verdict", m.Verdict, KeyVerdict::Unable);
  ar("leaving", m.Leaving);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<KeyReplied> m) {
  ar("from", m.From);
  ar("reply", m.Reply);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<PeerLost> m) {
  ar("peer", m.Peer);
  ar("not_sent", m.NotSent);
  ar("only", m.Only);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<SendFailed> m) {
  ar("request", m.Request);
  ar("peer", m.Peer);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<CallerLeft> m) {
  ar("request", m.Request);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<SettleFailed> m) {
  ar("key", m.Settled.Key);
  ar("request", m.Settled.Request);
  ar.oneOf("ending", m.Settled.How, OutcomeKind::GivenUp);
}

template <class Ar>
void traceFields(Ar &, typename Ar::template Ref<EntryTicked>) {}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<RankedServer> m) {
  ar("server", m.Server);
  ar("weight", m.Weight);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<RoutedServer> m) {
  ar("server", m.Server);
  ar("owner", m.Owner);
  ar("owner_reachable", m.OwnerReachable);
  ar("domain_in_service", m.DomainInService);
  ar("ejected", m.Ejected);
  ar("domain_reachable", m.DomainReachable);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<ServiceRoute> m) {
  ar("service", m.Settings);
  ar("servers", m.Servers);
  ar("earlier", m.EarlierServers);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<KeyReplicaView> m) {
  ar("members", m.Members);
  ar("departed", m.RecentlyDeparted);
  ar("unreachable", m.Unreachable);
}

/// Content of a ViewChanged event in a trace, without derived data.
struct RecordedView {
  TicketNumber Ticket;                ///< As in RoutingView.
  EntryVm Self;                       ///< As in RoutingView.
  std::vector<ServiceRoute> Services; ///< Values of the map in RoutingView.
  KeyReplicaView KeyReplicas;         ///< As in RoutingView.
};

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<RecordedView> m) {
  ar("ticket", m.Ticket);
  ar("self", m.Self);
  ar("services", m.Services);
  ar("guardians", m.KeyReplicas);
}

inline void traceFields(TraceWriter &ar, const ViewChanged &m) {
  RecordedView view{m.View->Ticket, m.View->Self, {}, m.View->KeyReplicas};
  for (const auto &[id, route] : m.View->Services)
    view.Services.push_back(route);
  traceFields(ar, view);
}

inline void traceFields(TraceReader &ar, ViewChanged &m) {
  RecordedView recorded;
  traceFields(ar, recorded);
  RoutingView contents;
  contents.Ticket = recorded.Ticket;
  contents.Self = recorded.Self;
  contents.KeyReplicas = std::move(recorded.KeyReplicas);
  for (ServiceRoute &it : recorded.Services) {
    const ServiceId id = it.Settings.Id;
    contents.Services[id] = std::move(it);
  }
  auto view = RoutingView::create(std::move(contents));
  if (view.ok())
    m.View = std::move(*view);
  else
    ar.setError(std::string(view.status().message()));
}

// Events of the owner.

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<OwnedServer> m) {
  ar("server", m.Server);
  ar("domain_in_service", m.DomainInService);
  ar.oneOf("how", m.How, OwnedServer::Origin::TakenOver);
  ar("last_known", m.LastKnown);
  ar("in_progress", m.InProgress);
  ar("dispatch_allowed_from_us", m.DispatchAllowedFrom);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<ServersChanged> m) {
  ar("ticket", m.Ticket);
  ar("service", m.Settings);
  ar("servers", m.Servers);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<RequestArrived> m) {
  ar("head", m.Head);
  ar("server", m.Server);
  ar("new_flow", m.NewFlow);
  ar("flows_on_server", m.FlowsOnServer);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<RequestCancelled> m) {
  ar("request", m.Request);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<DispatchEnded> m) {
  ar("request", m.Request);
  ar.oneOf("how", m.How, DispatchOutcome::Failed);
  ar("instance", m.Instance);
  ar("took_us", m.Took);
  ar("retry_after_us", m.RetryAfter);
  ar("status", m.HttpStatus);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<HealthReported> m) {
  ar("server", m.Server);
  ar("ready", m.Ready);
  ar("in_progress", m.InProgress);
  ar("instance", m.Instance);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<AuthorityChanged> m) {
  ar("may_dispatch", m.MayDispatch);
}

template <class Ar> void traceFields(Ar &, typename Ar::template Ref<Ticked>) {}

template <class Ar>
void traceFields(Ar &, typename Ar::template Ref<ShutdownBegan>) {}

// Actions are written but never read.

inline void traceFields(TraceWriter &ar, const Decision &m) {
  ar.oneOf("kind", m.Kind, DecisionKind::KeyJudged);
  ar("rule", m.Rule);
  ar("result", m.Result);
  ar("request", m.Request);
  ar("flow", m.Flow);
  ar("server", m.Server);
  ar("ticket", m.Ticket);
  ar("step", m.AtStep);
  ar("peer", m.AtPeer);
  std::vector<std::string> inputs;
  for (const auto &[name, value] : m.Inputs)
    inputs.push_back(absl::StrCat(name, "=", value));
  ar("inputs", inputs);
}

inline void traceFields(TraceWriter &ar, const Explain &m) {
  traceFields(ar, m.What);
}

inline void traceFields(TraceWriter &ar, const ExplainEntry &m) {
  traceFields(ar, m.Made);
}

inline void traceFields(TraceWriter &ar, const SendForward &m) {
  ar("to", m.To.Id);
  ar("request", m.Request);
  ar("server", m.Server);
  ar("ticket", m.Ticket);
  ar("accept", m.Accept);
  ar("by_token", m.ByToken);
  ar("remaining_us", m.Remaining);
}

inline void traceFields(TraceWriter &ar, const SendQuestion &m) {
  ar("to", m.To.Id);
  ar("request", m.Question.Request);
  ar("flow", m.Question.Flow);
}

inline void traceFields(TraceWriter &ar, const SendClaim &m) {
  ar("to", m.To.Id);
  ar("key", m.Claim.Key);
  ar("request", m.Claim.Request);
}

inline void traceFields(TraceWriter &ar, const SendSettled &m) {
  ar("to", m.To.Id);
  ar("key", m.Settled.Key);
  ar("request", m.Settled.Request);
  ar.oneOf("ending", m.Settled.How, OutcomeKind::GivenUp);
}

inline void traceFields(TraceWriter &ar, const SendCancel &m) {
  ar("to", m.To.Id);
  ar("request", m.Request);
}

inline void traceFields(TraceWriter &ar, const EndPacket &m) {
  ar("outcome", m.Result);
  ar("token", m.Token);
}

inline void traceFields(TraceWriter &ar, const StartDispatch &m) {
  ar("request", m.Request);
  ar("server", m.Server);
  ar("timeout_us", m.Timeout);
}

inline void traceFields(TraceWriter &ar, const CancelDispatch &m) {
  ar("request", m.Request);
  ar("server", m.Server);
}

inline void traceFields(TraceWriter &ar, const EndRequest &m) {
  ar("outcome", m.Result);
}

inline void traceFields(TraceWriter &ar, const ConditionLearned &m) {
  ar("condition", m.Condition);
}

} // namespace balsamrack

#endif // BALSAMRACK_REPLAY_TRACEFIELDS_H
