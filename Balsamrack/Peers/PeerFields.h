#ifndef BALSAMRACK_PEERS_PEERFIELDS_H
#define BALSAMRACK_PEERS_PEERFIELDS_H

#include "Balsamrack/Peers/FieldArchive.h"
#include "Balsamrack/Peers/PeerMessage.h"
#include "Balsamrack/Peers/PublishedFields.h"

namespace balsamrack {

// Each function lists the fields of one struct once, for both writing and
// reading (Ar is FieldWriter or FieldReader). Names have one or two letters
// because they are part of every probe; a name is never reused with another
// meaning within a struct.

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<EntryVm> m) {
  ar("i", m.Id);
  ar("d", m.Domain);
  ar("a", m.PeerAt);
  ar("l", m.Leaving);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<KeyDigest> m) {
  ar("h", m.High);
  ar("l", m.Low);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<StateDigest> m) {
  ar("n", m.Highest);
  ar("h", m.Hash);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<MemberRecord> m) {
  ar("v", m.Vm);
  ar("r", m.Run);
  ar("f", m.Refutation);
  ar.oneOf("s", m.State, MemberState::Left);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<ServerCondition> m) {
  ar("s", m.Server);
  ar("i", m.Instance);
  ar("w", m.Warm);
  ar("v", m.Version);
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<Gossip> m) {
  ar("h", m.Held);
  ar("m", m.Members);
  ar("c", m.Conditions);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<HandedOverServer> m) {
  ar("c", m.Condition);
  ar("p", m.InProgress);
  ar("o", m.Owned);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<FailureDomain> m) {
  ar("r", m.Region);
  ar("s", m.InService);
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<Service> m) {
  ar("p", m.Ports);
  ar("q", m.QueuePerServer);
  ar("t", m.DefaultTimeout);
  ar("e", m.ExpectedServiceTime);
  ar("f", m.FlowIdleTimeout);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<BackendServer> m) {
  ar("v", m.Service);
  ar("d", m.Domain);
  ar("a", m.At);
  ar("s", m.Slots);
  ar("c", m.Connections);
  ar("w", m.Weight);
  ar.oneOf("m", m.Mode, ServerMode::Draining);
  ar("l", m.DrainLimit);
}

/// Reads or writes a state of type \p T. Its id is equal to the name in the
/// object's key and is not sent twice.
template <class T, class Ar>
void stateFields(Ar &ar, typename Ar::template Ref<ObjectState> m) {
  if constexpr (Ar::Reads) {
    auto &state = m.State.template emplace<T>();
    ar("s", state);
    state.Id = decltype(state.Id)(m.Key.Name);
  } else if (const T *state = std::get_if<T>(&m.State)) {
    ar("s", *state);
  }
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<ObjectState> m) {
  bool deleted = m.deleted();
  ar.oneOf("k", m.Key.Kind, ObjectKind::Server);
  ar("n", m.Key.Name);
  ar("t", m.Ticket);
  ar("x", deleted);
  if (deleted) {
    if constexpr (Ar::Reads)
      m.State = std::monostate();
    return;
  }
  switch (m.Key.Kind) {
  case ObjectKind::Domain:
    return stateFields<FailureDomain>(ar, m);
  case ObjectKind::Service:
    return stateFields<Service>(ar, m);
  case ObjectKind::Server:
    return stateFields<BackendServer>(ar, m);
  }
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<Envelope> m) {
  ar("r", m.Request);
  ar("f", m.Flow);
  ar("c", m.Caller);
  ar("s", m.Service);
  ar("o", m.FirstOfFlow);
  ar.oneOf("k", m.Kind, Semantics::RunOnce);
  ar("i", m.Key);
  ar("t", m.Remaining);
  ar("w", m.Trace);
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<Message> m) {
  ar.bytes("m", m.Method);
  ar.bytes("t", m.Target);
  ar.headers("h", m.Headers);
  ar.bytes("b", m.Body);
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<Answer> m) {
  ar("s", m.Status);
  ar.headers("h", m.Headers);
  ar.bytes("b", m.Body);
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<Outcome> m) {
  ar("r", m.Request);
  ar.oneOf("h", m.Kind, OutcomeKind::GivenUp);
  ar.oneOf("w", m.Cause, Reason::UnknownService);
  ar("a", m.RetryAfter);
  ar("s", m.Server);
  ar("t", m.AtStep);
  ar("p", m.AtPeer);
  ar("c", m.Content);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<FlowException> m) {
  ar("f", m.Flow);
  ar("s", m.Server);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<KeysHandedOver::Entry> m) {
  ar("k", m.Key);
  ar("r", m.Request);
  ar.oneOf("v", m.Verdict, KeyVerdict::Unable);
  ar("a", m.Age);
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<Hello> m) {
  ar("v", m.Vm);
  ar("r", m.Run);
  ar("g", m.AcceptsGoAway);
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<Ping> m) {
  ar("q", m.Sequence);
  ar("s", m.Sender);
  ar("n", m.Updates);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<PingRequest> m) {
  ar("q", m.Sequence);
  ar("t", m.Target);
  ar("n", m.Updates);
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<Ack> m) {
  ar("q", m.Sequence);
  ar("a", m.About);
  ar("s", m.Sender);
  ar("n", m.Updates);
  ar("w", m.Renews);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<StateRequest> m) {
  ar("h", m.Held);
  ar("b", m.BucketHashes);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<StateUpdate> m) {
  ar("h", m.Held);
  ar("o", m.Objects);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<OwnershipHandOver> m) {
  ar("f", m.From);
  ar("r", m.Run);
  ar("s", m.Servers);
  ar("h", m.Held);
  ar("w", m.Wanted);
  ar("l", m.AllOthersReleased);
  ar("n", m.Sequence);
  ar("v", m.LiveHash);
  ar("q", m.TimeSinceDeadLease);
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<Forward> m) {
  ar("h", m.Head);
  ar("s", m.Server);
  ar("t", m.Ticket);
  ar("a", m.Accept);
  ar("b", m.ByToken);
  ar("c", m.Content);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<OutcomeReport> m) {
  ar("o", m.Result);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<CancelRequest> m) {
  ar("r", m.Request);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<FlowQuestion> m) {
  ar("r", m.Request);
  ar("f", m.Flow);
  ar("s", m.Service);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<FlowReply> m) {
  ar("r", m.Request);
  ar("f", m.Flow);
  ar("s", m.Server);
  ar("n", m.Fresh);
  ar("t", m.Ticket);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<FlowExceptions> m) {
  ar("s", m.Service);
  ar("f", m.Flows);
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<KeyClaim> m) {
  ar("k", m.Key);
  ar("r", m.Request);
}

template <class Ar> void fields(Ar &ar, typename Ar::template Ref<KeyReply> m) {
  ar("k", m.Key);
  ar("r", m.Request);
  ar.oneOf("v", m.Verdict, KeyVerdict::Unable);
  ar("l", m.Leaving);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<KeySettled> m) {
  ar("k", m.Key);
  ar("r", m.Request);
  ar.oneOf("h", m.How, OutcomeKind::GivenUp);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<KeysHandedOver> m) {
  ar("k", m.Keys);
  ar("f", m.From);
  ar("r", m.Run);
  ar("c", m.Complete);
  ar("n", m.Total);
  ar("v", m.SenderHasFullHistory);
  ar("a", m.KnownDaemons);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<RelayedPacket> m) {
  ar("o", m.IsOriginal);
  ar.bytes("b", m.Bytes);
}

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PEERFIELDS_H
