#include "Balsamrack/Daemon/EntryHandler.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Daemon/EnvelopeReader.h"
#include "Balsamrack/Flows/EntryRouter.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace balsamrack {

namespace {

constexpr Duration OneSecond{1'000'000};

/// Maps an outcome to an HTTP status, for callers that don't read the
/// Balsamrack headers.
uint32_t httpStatusOf(const Outcome &outcome) {
  switch (outcome.Kind) {
  case OutcomeKind::Answered:
    return outcome.Content.Status;
  case OutcomeKind::NotRun:
    return 503;
  case OutcomeKind::GivenUp:
    return 410;
  case OutcomeKind::OutcomeUnknown:
    break;
  }
  const bool byKey = outcome.Cause == Reason::KeyInProgress ||
                     outcome.Cause == Reason::KeyAnswered ||
                     outcome.Cause == Reason::KeyOutcomeUnknown;
  return byKey ? 409 : 504;
}

/// Builds the response to the caller: the server's response, or an error in
/// plain text, with the envelope fields added.
Answer toAnswer(const Outcome &outcome, const std::string &token) {
  Answer answer = outcome.Content;
  answer.Status = httpStatusOf(outcome);
  auto add = [&](const char *name, std::string value) {
    answer.Headers.emplace_back(name, std::move(value));
  };
  add("Balsamrack-Ending", outcomeKindName(outcome.Kind));
  add("Balsamrack-Request", absl::StrFormat("%016x", outcome.Request.Value));
  if (!token.empty())
    add("Balsamrack-Token", token);
  if (outcome.Kind == OutcomeKind::Answered)
    return answer;
  add("Balsamrack-Reason", reasonName(outcome.Cause));
  add("Content-Type", "text/plain");
  add("Proxy-Status",
      absl::StrCat("balsamrack; error=", reasonName(outcome.Cause),
                   "; details=\"step=", outcome.AtStep,
                   " peer=", outcome.AtPeer, "\""));
  if (outcome.RetryAfter > Duration::zero()) {
    const int64_t ms = (outcome.RetryAfter.count() + 999) / 1000;
    add("Balsamrack-Retry-After-Ms", absl::StrCat(ms));
    add("Retry-After",
        absl::StrCat((outcome.RetryAfter + OneSecond - Duration(1)) /
                     OneSecond));
  }
  answer.Body = absl::StrCat(outcomeKindName(outcome.Kind), ": ",
                             reasonName(outcome.Cause), "\n");
  return answer;
}

} // namespace

/// A packet in progress, shared by the thread that serves it and its shard.
struct EntryHandler::PendingPacket {
  Message Content; ///< Forwarded unchanged.
  Envelope Head;   ///< Envelope with the traceparent of the entry's span.
  std::mutex Lock; ///< Guards Ended.
  std::condition_variable Changed;
  std::optional<EndPacket> Ended; ///< Set once.
};

/// A router and the packets in progress that it routes.
struct EntryHandler::Shard {
  std::string Name;                    ///< Identifies the shard in recordings.
  std::mutex Lock;                     ///< Guards the members below.
  std::unique_ptr<EntryRouter> Router; ///< Not null.
  absl::flat_hash_map<RequestId, std::shared_ptr<PendingPacket>> Packets;
  std::map<std::pair<RequestId, VmId>, std::shared_ptr<std::atomic<bool>>>
      Sending; ///< Forwards being passed to the transport, by owner, and
               ///< whether the owner was lost meanwhile.
};

absl::StatusOr<std::unique_ptr<EntryHandler>>
EntryHandler::create(const EntryHandlerSettings &settings, const Clock &clock,
                     const ConfigurationStore &store, PeerSender &sender,
                     Telemetry &telemetry) {
  if (settings.Shards == 0 || (settings.Shards & (settings.Shards - 1)) != 0)
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, "",
                     "number of entry shards is not a power of two");
  std::unique_ptr<EntryHandler> part(
      new EntryHandler(settings, clock, store, sender, telemetry));
  for (uint32_t i = 0; i < settings.Shards; ++i) {
    auto router =
        EntryRouter::create(settings.Router, combineHash(settings.Seed, i));
    if (!router.ok())
      return router.status();
    part->Shards.push_back(std::make_unique<Shard>());
    Shard &shard = *part->Shards.back();
    shard.Name = absl::StrCat("entry-", i);
    shard.Router = std::move(*router);
    if (settings.Record)
      settings.Record->record(
          {shard.Name, clock.now(),
           RouterOpened{settings.Router, combineHash(settings.Seed, i)}});
  }
  return part;
}

EntryHandler::EntryHandler(const EntryHandlerSettings &settings,
                           const Clock &clock, const ConfigurationStore &store,
                           PeerSender &sender, Telemetry &telemetry)
    : Settings(settings), Time(clock), Store(store), Sender(sender),
      TelemetrySink(telemetry) {}

EntryHandler::~EntryHandler() = default;

EntryHandler::Shard &EntryHandler::shardOf(RequestId request) {
  return *Shards[request.Value & (Settings.Shards - 1)];
}

RequestId EntryHandler::nextRequest(FlowId flow) {
  // The seed makes ids unique across daemons and runs. The low bits select the
  // shard, so that all packets of a flow share one lock.
  const uint64_t mask = Settings.Shards - 1;
  uint64_t id = combineHash(Settings.Seed, ++Sequence);
  id = (id & ~mask) | (flow.Value & mask);
  return RequestId{id == 0 ? Settings.Shards : id};
}

Answer EntryHandler::serve(uint16_t port, const std::string &peerIp,
                           Message message) {
  // Look up the service and read the envelope.
  const TimePoint start = Time.now();
  const auto view = Store.view();
  const Service *service =
      view->serviceAtPort(static_cast<uint16_t>(port - Settings.PortOffset));
  if (!service)
    return refuse(peerIp, 503, Reason::UnknownService,
                  "no service has this port");
  auto envelope = readEnvelope(*service, peerIp, message);
  if (!envelope.ok()) {
    TelemetrySink.recordError(Component::Entry, envelope.status());
    return refuse(peerIp, 400, Reason::BadRequest,
                  std::string(envelope.status().message()));
  }
  if (InProgress.load() >= Settings.MaxInProgress)
    return refuse(peerIp, 503, Reason::QueueFull, "too many packets in hand");

  // Pass the packet to the router and wait for its outcome.
  auto packet = std::make_shared<PendingPacket>();
  const std::string parent = envelope->Head.Trace;
  packet->Head = envelope->Head;
  packet->Head.Request = nextRequest(packet->Head.Flow);
  packet->Head.Trace = TelemetrySink.startSpan(parent);
  packet->Content = std::move(message);
  Shard &shard = shardOf(packet->Head.Request);
  ++InProgress;
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    shard.Packets[packet->Head.Request] = packet;
  }
  step(shard, PacketArrived{packet->Head, std::move(envelope->Token)});
  EndPacket ended;
  {
    std::unique_lock<std::mutex> guard(packet->Lock);
    packet->Changed.wait(guard, [&] { return packet->Ended.has_value(); });
    ended = std::move(*packet->Ended);
  }
  --InProgress;

  // Record the outcome and respond to the caller.
  const Duration took = Time.now() - start;
  const Outcome &result = ended.Result;
  TelemetrySink.recordPacketEnd(service->Id, result.Kind, result.Cause, took);
  TelemetrySink.endSpan({"entry", parent, packet->Head.Trace, start, took,
                         service->Id, result.Server, result.Request,
                         absl::StrCat(outcomeKindName(result.Kind), " ",
                                      reasonName(result.Cause)),
                         result.Kind != OutcomeKind::Answered});
  return toAnswer(result, ended.Token);
}

Answer EntryHandler::refuse(const std::string &peer, uint32_t status,
                            Reason why, const std::string &detail) {
  Outcome outcome;
  outcome.Kind = OutcomeKind::NotRun;
  outcome.Cause = why;
  outcome.AtStep = stepName(Step::DecodeEnvelope);
  outcome.AtPeer = peer;
  if (status == 503)
    outcome.RetryAfter = Settings.Router.RetryAfter;
  TelemetrySink.recordPacketEnd(ServiceId(), outcome.Kind, why,
                                Duration::zero());
  Answer answer = toAnswer(outcome, "");
  answer.Status = status;
  absl::StrAppend(&answer.Body, detail, "\n");
  return answer;
}

void EntryHandler::setView(const std::shared_ptr<const RoutingView> &view) {
  for (auto &shard : Shards)
    step(*shard, ViewChanged{view});
}

void EntryHandler::onOutcome(const VmId &from, Outcome outcome) {
  Shard &shard = shardOf(outcome.Request);
  step(shard, OwnerReplied{from, std::move(outcome)});
}

void EntryHandler::onFlowReply(const VmId &from, const FlowReply &reply) {
  step(shardOf(reply.Request), FlowReplied{from, reply});
}

void EntryHandler::onKeyReply(const VmId &from, const KeyReply &reply) {
  step(shardOf(reply.Request), KeyReplied{from, reply});
}

void EntryHandler::onPeerLost(const VmId &peer) {
  for (auto &shard : Shards) {
    std::vector<EntryAction> actions;
    {
      std::lock_guard<std::mutex> guard(shard->Lock);
      PeerLost event{peer, {}, {}};
      for (auto &[key, lost] : shard->Sending)
        if (key.second == peer) {
          *lost = true;
          event.NotSent.push_back(key.first);
        }
      actions = stepRouter(*shard, event);
    }
    performAll(*shard, actions);
  }
}

void EntryHandler::onSendFailed(const VmId &peer, RequestId request) {
  step(shardOf(request), SendFailed{request, peer});
}

void EntryHandler::onSettleFailed(const KeySettled &settled) {
  step(shardOf(settled.Request), SettleFailed{settled});
}

void EntryHandler::tick(TimePoint now) {
  for (auto &shard : Shards) {
    std::optional<TimePoint> due;
    {
      std::lock_guard<std::mutex> guard(shard->Lock);
      due = shard->Router->nextWakeup();
    }
    if (due && *due <= now)
      step(*shard, EntryTicked{});
  }
}

std::vector<EntryAction> EntryHandler::stepRouter(Shard &shard,
                                                  const EntryEvent &event) {
  // Read the clock under the lock, so that a shard's time never goes back.
  const TimePoint now = Time.now();
  if (Settings.Record)
    Settings.Record->record({shard.Name, now, event});
  std::vector<EntryAction> actions = shard.Router->step(now, event);
  for (const EntryAction &it : actions)
    if (const auto *forward = std::get_if<SendForward>(&it))
      shard.Sending[{forward->Request, forward->To.Id}] =
          std::make_shared<std::atomic<bool>>(false);
  return actions;
}

void EntryHandler::step(Shard &shard, const EntryEvent &event) {
  std::vector<EntryAction> actions;
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    actions = stepRouter(shard, event);
  }
  performAll(shard, actions);
}

void EntryHandler::performAll(Shard &shard,
                              const std::vector<EntryAction> &actions) {
  // Perform the actions without the lock, since a message to this daemon is
  // handled within send(). Record decisions first, so that the journal has them
  // before their consequences.
  for (const EntryAction &it : actions)
    if (const auto *explain = std::get_if<ExplainEntry>(&it))
      TelemetrySink.recordDecision(explain->Made);
  for (const EntryAction &it : actions)
    perform(shard, it);
}

void EntryHandler::perform(Shard &shard, const EntryAction &action) {
  if (const auto *it = std::get_if<SendForward>(&action))
    forward(shard, *it);
  else if (const auto *it = std::get_if<SendQuestion>(&action))
    sendOrFail(it->To, it->Question.Request, it->Question);
  else if (const auto *it = std::get_if<SendClaim>(&action))
    sendOrFail(it->To, it->Claim.Request, it->Claim);
  else if (const auto *it = std::get_if<SendSettled>(&action))
    settle(it->To, it->Settled);
  else if (const auto *it = std::get_if<SendCancel>(&action))
    Sender.send(it->To, CancelRequest{it->Request}).IgnoreError();
  else if (const auto *it = std::get_if<EndPacket>(&action))
    endPacket(shard, *it);
}

void EntryHandler::forward(Shard &shard, const SendForward &action) {
  const std::pair<RequestId, VmId> key(action.Request, action.To.Id);
  auto lost = std::make_shared<std::atomic<bool>>(false);
  std::shared_ptr<PendingPacket> packet;
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    auto it = shard.Packets.find(action.Request);
    if (it == shard.Packets.end()) {
      shard.Sending.erase(key);
      return;
    }
    packet = it->second;
    // A loss of the owner up to here does not concern this message.
    shard.Sending[key] = lost;
  }
  Forward message;
  message.Head = packet->Head;
  message.Head.Remaining = action.Remaining;
  message.Server = action.Server;
  message.Ticket = action.Ticket;
  message.Accept = action.Accept;
  message.ByToken = action.ByToken;
  message.Content = packet->Content;
  // A message that is queued before a loss is reported was written to the lost
  // connection or is returned; afterwards it is not queued.
  const absl::Status status =
      Sender.sendForward(action.To, std::move(message), *lost);
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    auto it = shard.Sending.find(key);
    if (it != shard.Sending.end() && it->second == lost)
      shard.Sending.erase(it);
  }
  if (!status.ok()) {
    TelemetrySink.recordError(Component::Entry, status);
    onSendFailed(action.To.Id, action.Request);
  } else if (*lost) {
    step(shard, PeerLost{action.To.Id, {}, action.Request});
  }
}

void EntryHandler::settle(const EntryVm &to, const KeySettled &settled) {
  if (!Sender.send(to, settled).ok())
    onSettleFailed(settled);
}

void EntryHandler::sendOrFail(const EntryVm &to, RequestId request,
                              PeerMessage message) {
  const absl::Status status = Sender.send(to, std::move(message));
  if (status.ok())
    return;
  TelemetrySink.recordError(Component::Entry, status);
  onSendFailed(to.Id, request);
}

void EntryHandler::endPacket(Shard &shard, const EndPacket &action) {
  std::shared_ptr<PendingPacket> packet;
  {
    std::lock_guard<std::mutex> guard(shard.Lock);
    auto it = shard.Packets.find(action.Result.Request);
    if (it == shard.Packets.end())
      return;
    packet = std::move(it->second);
    shard.Packets.erase(it);
  }
  std::lock_guard<std::mutex> guard(packet->Lock);
  packet->Ended = action;
  packet->Changed.notify_all();
}

} // namespace balsamrack
