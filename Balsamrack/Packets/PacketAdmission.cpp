#include <algorithm>
#include <utility>

#include "Balsamrack/Decisions/LateOpenings.h"
#include "Balsamrack/Packets/PacketRouter.h"

// Admission of openings and their wait for room: part of PacketRouter.

namespace balsamrack {

namespace {

constexpr TimePoint Never = TimePoint(Duration::max());

} // namespace

void PacketRouter::recordCall(TimePoint now) {
  if (now == CalledAt)
    return;
  CalledBefore = CalledAt;
  CalledAt = now;
}

AdmissionInputs PacketRouter::admissionInputs(const ServiceEntry &of) const {
  return {of.Share, of.UsableInProgress, of.RequestTime, Timeout.mean(),
          of.SiteLoad};
}

OpeningAdmission *PacketRouter::admissionFor(TimePoint now,
                                             const ServiceId &service) {
  // With part of the servers known, the daemon's slots are unknown.
  if (!Settings.Load.Admission || !HasAllServers || Releasing)
    return nullptr;
  const ServiceEntry *of = Servers.service(service);
  if (!of)
    return nullptr;
  OpeningAdmission &admission =
      Admissions.try_emplace(service, Settings.Admission).first->second;
  admission.update(now, admissionInputs(*of));
  return &admission;
}

std::optional<uint32_t>
PacketRouter::admissionPriority(const FlowKey &flow) const {
  if (!Settings.Load.Admission || !Routes)
    return std::nullopt;
  auto route = Routes->Routes.find(flow.Service);
  return route == Routes->Routes.end() ? LowestPriority
                                       : route->second.Priority;
}

OpeningRequest PacketRouter::admissionRequest(const PacketHeader &head,
                                              TimePoint arrivedAt) const {
  const RouteEntry &route = Routes->Routes.at(head.Flow.Service);
  OpeningRequest request;
  request.Caller = head.Flow.Caller.Ip;
  request.Priority = route.Priority;
  request.SentAt = arrivedAt - head.Age;
  request.Objective = route.Objective;
  request.Timeout = route.Timeout;
  // A packet may have waited in the socket while this process had no processor
  // time, at most since the call before.
  if (head.CopyNumber == 0 && CalledBefore != TimePoint{})
    request.RefusableUntil =
        CalledBefore - head.Age + OpeningAdmission::RefusalPeriod;
  return request;
}

bool PacketRouter::admit(TimePoint now, const PacketHeader &head,
                         const uint8_t *bytes, size_t n,
                         const OpeningCopies &copies, PacketSink &out) {
  if (HeldOpening *held = Held.find(head.Flow)) {
    OpeningAdmission &admission = Admissions.at(held->Service);
    if (held->Opening.Head.Sequence == head.Sequence) {
      held->Copies.add(now, head, mayHaveWaited());
      if (head.CopyNumber > 0) {
        admission.setNotRefusable(held->Id);
        held->RefusableUntil = {};
      }
      return true;
    }
    // A new flow on the same ports; its caller has given up the earlier one.
    admission.remove(held->Id);
    Held.take(held->Id);
  }
  const ServiceId *service = serviceFor(head.Flow);
  OpeningAdmission *admission = service && n <= BufferedOpening::MaxBytes
                                    ? admissionFor(now, *service)
                                    : nullptr;
  if (!admission)
    return false;
  OpeningRequest request = admissionRequest(head, now);
  request.Id = ++LastHeldId;
  OpeningVerdict verdict = admission->decide(now, request);
  if (!admission->isShort())
    return false;
  if (verdict == OpeningVerdict::Place) {
    place(now, head, bytes, n, copies, out);
  } else if (verdict == OpeningVerdict::Refuse) {
    refuseForRoom(now, head, request, *service, out);
  } else {
    HeldOpening held;
    held.Opening.assign(head, bytes, n);
    held.Copies = copies;
    held.Id = request.Id;
    held.Service = *service;
    held.ArrivedAt = now;
    held.RefusableUntil = request.RefusableUntil;
    Held.add(held);
  }
  return true;
}

void PacketRouter::refuseForRoom(TimePoint now, const PacketHeader &head,
                                 const OpeningRequest &request,
                                 const ServiceId &service, PacketSink &out) {
  const OpeningAdmission &admission = Admissions.at(service);
  AdmissionForecast forecast = admission.forecast(now, request);
  PacketEvent event = makeEvent(PacketEventKind::Refused, PacketReason::NoRoom,
                                head.Flow, NoServerIndex);
  event.Service = &service;
  event.Priority = request.Priority;
  event.Limit = admission.limit();
  event.ExpectedWait = forecast.ExpectedWait;
  event.MaxWait = forecast.MaxWait;
  if (const ServiceEntry *of = Servers.service(service)) {
    event.InProgress = of->UsableInProgress;
    event.Share = of->Share;
    event.OthersLoad = of->Load;
  }
  out.reset(head);
  out.report(event);
}

void PacketRouter::placeHeld(TimePoint now, const HeldOpening &held,
                             PacketSink &out) {
  PacketHeader head = held.Opening.Head;
  if (Flows.find(head.Flow))
    return;
  // A copy may have opened the flow through another daemon.
  if (isOutdated(now, held.Copies)) {
    out.report(makeEvent(PacketEventKind::Dropped, PacketReason::Stale,
                         head.Flow, NoServerIndex));
    return;
  }
  head.Age += now - held.ArrivedAt;
  MayReset = now <= held.RefusableUntil;
  place(now, head, held.Opening.Packet.data(), held.Opening.Bytes, held.Copies,
        out);
  MayReset = true;
  const TrackedFlow *flow = Flows.find(head.Flow);
  if (!flow)
    return;
  PacketEvent event = makeEvent(PacketEventKind::Waited, PacketReason::None,
                                head.Flow, flow->Server);
  event.Took = now - held.ArrivedAt;
  event.Priority = admissionPriority(head.Flow);
  out.report(event);
}

void PacketRouter::endHeld(TimePoint now, const HeldOpening &held,
                           OpeningVerdict verdict, PacketSink &out) {
  const PacketHeader &head = held.Opening.Head;
  // While the routes were outdated, a copy was buffered and then placed.
  if (Flows.find(head.Flow))
    return;
  if (verdict == OpeningVerdict::Place) {
    placeHeld(now, held, out);
  } else if (verdict == OpeningVerdict::Refuse) {
    OpeningRequest request = admissionRequest(head, held.ArrivedAt);
    request.RefusableUntil = held.RefusableUntil;
    refuseForRoom(now, head, request, held.Service, out);
  } else {
    PacketEvent event =
        makeEvent(PacketEventKind::Dropped, PacketReason::NoRoom, head.Flow,
                  NoServerIndex);
    event.Priority = admissionPriority(head.Flow);
    out.report(event);
  }
}

void PacketRouter::decideHeldAgain(TimePoint now, PacketSink &out) {
  std::vector<HeldOpening> all;
  for (auto &[service, admission] : Admissions)
    for (uint64_t id : admission.removeAll())
      if (auto held = Held.take(id))
        all.push_back(*std::move(held));
  for (HeldOpening &held : all) {
    const PacketHeader &head = held.Opening.Head;
    const ServiceId *service = serviceFor(head.Flow);
    OpeningAdmission *admission =
        service ? admissionFor(now, *service) : nullptr;
    if (!admission) {
      placeHeld(now, held, out);
      continue;
    }
    OpeningRequest request = admissionRequest(head, held.ArrivedAt);
    request.RefusableUntil = held.RefusableUntil;
    request.Id = held.Id;
    held.Service = *service;
    OpeningVerdict verdict = admission->decide(now, request);
    if (verdict == OpeningVerdict::Wait)
      Held.add(held);
    else
      endHeld(now, held, verdict, out);
  }
}

void PacketRouter::serveHeldOf(TimePoint now, const ServiceId &service,
                               OpeningAdmission &admission, PacketSink &out) {
  if (admission.waiting() == 0 && !admission.isShort())
    return;
  if (!admissionFor(now, service)) {
    // The inputs are missing: as without admission.
    for (uint64_t id : admission.removeAll())
      if (auto held = Held.take(id))
        placeHeld(now, *held, out);
    return;
  }
  while (auto ended = admission.takeNext(now)) {
    if (auto held = Held.take(ended->Id))
      endHeld(now, *held, ended->Verdict, out);
    admissionFor(now, service);
  }
}

void PacketRouter::serveHeldOpenings(TimePoint now, PacketSink &out) {
  if (!Routes || Stale)
    return;
  if (AreHeldOutdated && !Held.empty())
    decideHeldAgain(now, out);
  AreHeldOutdated = false;
  for (auto &[service, admission] : Admissions)
    serveHeldOf(now, service, admission, out);
}

TimePoint PacketRouter::nextHeldWakeup() const {
  if (Held.empty() || !Routes || Stale)
    return Never;
  if (AreHeldOutdated || Releasing)
    return TimePoint{};
  TimePoint next = Never;
  for (const auto &[service, admission] : Admissions)
    if (auto due = admission.nextWakeup())
      next = std::min(next, *due);
  return next;
}

void PacketRouter::recordFlowRequest(TimePoint now, ServerIndex server) {
  if (Admissions.empty())
    return;
  auto it =
      Admissions.find(Servers.at(server).Backend.Published->Server.Service);
  if (it != Admissions.end())
    it->second.recordFlowRequest(now);
}

std::vector<AdmissionStatus> PacketRouter::admissionStatus() const {
  std::vector<AdmissionStatus> all;
  for (const auto &[service, admission] : Admissions) {
    auto of = Servers.services().find(service);
    AdmissionStatus status{service,
                           {},
                           admission.isShort(),
                           admission.load(),
                           admission.limit(),
                           admission.waiting()};
    if (of != Servers.services().end())
      status.Inputs = admissionInputs(of->second);
    all.push_back(status);
  }
  return all;
}

void PacketRouter::explainAdmission(TimePoint now, const FlowKey &flow,
                                    FlowExplanation &explanation) {
  const HeldOpening *held = Held.find(flow);
  auto it = Admissions.find(held ? held->Service : explanation.Service);
  if (it == Admissions.end())
    return;
  const OpeningAdmission &admission = it->second;
  ExplainedAdmission result;
  PacketHeader head;
  head.Flow = flow;
  OpeningRequest request = admissionRequest(head, now);
  result.Priority = request.Priority;
  result.Forecast = admission.forecast(now, request);
  if (held) {
    result.Waits = true;
    result.WaitedFor = now - held->ArrivedAt;
    if (auto forecast = admission.forecastWaiting(now, held->Id))
      result.Forecast = *forecast;
  }
  for (const AdmissionStatus &status : admissionStatus())
    if (status.Service == it->first)
      result.Service = status;
  explanation.Admission = result;
}

bool PacketRouter::queueLateOpening(TimePoint now, const PacketHeader &head,
                                    const uint8_t *bytes, size_t n,
                                    OpeningQueue::Item item) {
  auto route = Routes->Routes.find(head.Flow.Service);
  if (route == Routes->Routes.end())
    return false;
  Duration wait = lateOpeningMaxWait(
      {head.Age, route->second.Objective, route->second.Timeout});
  if (wait == Duration{0} || !areSlotsTakenFor(now, head))
    return false;
  // A copy of an opening that waits already does not prolong the wait.
  item.Deadline = std::min(item.Deadline, now + wait);
  return item.Opening.assign(head, bytes, n) && Late.push(item);
}

bool PacketRouter::areSlotsTakenFor(TimePoint now, const PacketHeader &head) {
  const ServiceId *service = serviceFor(head.Flow);
  ServiceEntry *of = service ? Servers.service(*service) : nullptr;
  if (!of)
    return false;
  of->updateLoad(now);
  return areOwnSlotsBusy({of->ShortTermLoad, of->RequestTime, Timeout.mean()});
}

void PacketRouter::placeLateOpenings(TimePoint now, PacketSink &out) {
  if (!Routes || Stale)
    return;
  // Checks each opening once; those that keep waiting stay in order.
  for (size_t n = Late.size(); n > 0; --n) {
    OpeningQueue::Item item = Late.pop();
    const BufferedOpening &opening = item.Opening;
    bool isDue = now >= item.Deadline || !areSlotsTakenFor(now, opening.Head);
    // A copy may have opened the flow through another daemon.
    if (isDue &&
        (isOutdated(now, item.Copies) || Flows.find(opening.Head.Flow)))
      out.report(makeEvent(PacketEventKind::Dropped, PacketReason::Stale,
                           opening.Head.Flow, NoServerIndex));
    else if (isDue || !Late.push(item))
      place(now, opening.Head, opening.Packet.data(), opening.Bytes,
            item.Copies, out);
  }
}

} // namespace balsamrack
