#include <algorithm>
#include <optional>

#include "Balsamrack/Packets/PacketRouter.h"

// Openings and their copies, and those that wait for routes: part of
// PacketRouter.

namespace balsamrack {

void PacketRouter::handleOpening(TimePoint now, const PacketHeader &head,
                                 const uint8_t *bytes, size_t n,
                                 PacketSink &out) {
  // The caller has sent the next copy since, which may have opened the flow
  // through another daemon.
  if (head.NextCopyAfter > Duration{0} && head.Waited &&
      *head.Waited >= head.NextCopyAfter) {
    out.report(makeEvent(PacketEventKind::Dropped, PacketReason::Stale,
                         head.Flow, NoServerIndex));
    return;
  }
  TrackedFlow *flow = Flows.find(head.Flow);
  if (flow && flow->FirstSequence == head.Sequence) {
    handleOpeningCopy(now, *flow, head, bytes, n, out);
    return;
  }
  if (flow && isLateCopy(now, *flow, head)) {
    out.report(makeEvent(PacketEventKind::Dropped, PacketReason::Copy,
                         head.Flow, flow->Server));
    return;
  }
  if (flow) {
    uncountRequest(*flow);
    Flows.erase(head.Flow);
  }
  OpeningQueue::Item item = takeWaitingOpening(now, head);
  const OpeningCopies &copies = item.Copies;
  // The original SYN stands for all copies, which may reach other daemons.
  if (head.CopyNumber == 0 && !Demands.empty())
    recordDemand(serviceFor(head.Flow));
  // If it has waited while the caller sent the next copy, that one comes here
  // too or may have opened the flow through another daemon.
  if (Stale || isOutdated(now, copies) || isAwaitingServers(head)) {
    if (!bufferOpening(now, head, bytes, n, copies))
      out.report(makeEvent(PacketEventKind::Dropped,
                           Stale ? PacketReason::Stale : PacketReason::NotReady,
                           head.Flow, NoServerIndex));
    return;
  }
  if (admit(now, head, bytes, n, copies, out) ||
      queueLateOpening(now, head, bytes, n, item))
    return;
  place(now, head, bytes, n, copies, out);
}

OpeningQueue::Item PacketRouter::takeWaitingOpening(TimePoint now,
                                                    const PacketHeader &head) {
  OpeningQueue::Item item;
  item.Deadline = TimePoint::max();
  auto isCopy = [&](const std::optional<OpeningQueue::Item> &it) {
    return it && it->Opening.Head.Sequence == head.Sequence;
  };
  auto buffered = Buffered.take(head.Flow);
  auto late = Late.take(head.Flow);
  if (isCopy(late))
    item = *late;
  else if (isCopy(buffered))
    item.Copies = buffered->Copies;
  item.Copies.add(now, head, mayHaveWaited());
  return item;
}

bool PacketRouter::isOutdated(TimePoint now, const OpeningCopies &copies) {
  return !copies.areAllHere(now) && !copies.isNewest(now);
}

void PacketRouter::removeWaitingOpening(const FlowKey &flow) {
  // Most packets arrive while nothing waits.
  if (Buffered.empty() && Late.empty() && Held.empty())
    return;
  Buffered.take(flow);
  Late.take(flow);
  if (HeldOpening *held = Held.find(flow)) {
    Admissions.at(held->Service).remove(held->Id);
    Held.take(held->Id);
  }
}

bool PacketRouter::bufferOpening(TimePoint now, const PacketHeader &head,
                                 const uint8_t *bytes, size_t n,
                                 const OpeningCopies &copies) {
  OpeningQueue::Item item;
  item.Copies = copies;
  item.Deadline = now + Settings.RefreshWait;
  return item.Opening.assign(head, bytes, n) && Buffered.push(item);
}

bool PacketRouter::isAwaitingServers(const PacketHeader &head) {
  if (HasAllServers)
    return false;
  // Servers of the service that are not known yet may take the flow.
  const ServiceId *service = serviceFor(head.Flow);
  return service &&
         (!Servers.service(*service) || isServiceUnreachable(*service));
}

void PacketRouter::placeBufferedOpenings(TimePoint now, PacketSink &out) {
  // Checks each opening once; those that keep waiting stay in order.
  size_t due = Routes && !Stale ? Buffered.size() : 0;
  for (; due > 0; --due) {
    OpeningQueue::Item item = Buffered.pop();
    const BufferedOpening &opening = item.Opening;
    if (Flows.find(opening.Head.Flow))
      continue;
    if (isOutdated(now, item.Copies) || isAwaitingServers(opening.Head)) {
      Buffered.push(item);
      continue;
    }
    place(now, opening.Head, opening.Packet.data(), opening.Bytes, item.Copies,
          out);
  }
  // Drops openings that waited too long; their callers retransmit them.
  while (!Buffered.empty() && now >= Buffered.front().Deadline)
    Buffered.pop();
}

void PacketRouter::handleOpeningCopy(TimePoint now, TrackedFlow &flow,
                                     const PacketHeader &head,
                                     const uint8_t *bytes, size_t n,
                                     PacketSink &out) {
  flow.Copies.add(now, head, mayHaveWaited());
  flow.UnansweredAt = std::max(flow.UnansweredAt, flow.Copies.unansweredAt());
  // A copy was delayed if the caller has answered its opening, or may have sent
  // the next one.
  if (flow.Stage != FlowStage::Opening || flow.IsAnswered ||
      isOutdated(now, flow.Copies)) {
    out.report(makeEvent(PacketEventKind::Dropped, PacketReason::Copy,
                         head.Flow, flow.Server));
    return;
  }
  flow.LastSeen = now;
  bool overdue = now - flow.LastSent >= Timeout.value();
  if (overdue && flow.Tries == TrackedFlow::MaxTries) {
    // All tries have timed out. Start another round that excludes only the last
    // server.
    flow.Tried[0] = flow.Server;
    flow.Tries = 1;
    flow.IsRepeated = true;
  }
  if (overdue && sendToAnotherServer(now, flow, head, bytes, n, out))
    return;
  sendOpening(now, flow, flow.Server, head, bytes, n, out);
}

} // namespace balsamrack
