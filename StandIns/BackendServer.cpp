#include "StandIns/BackendServer.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "Balsamrack/Core/Ids.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include <nlohmann/json.hpp>

namespace balsamrack::standins {

namespace {

using Json = nlohmann::json;

/// A run takes this many times as long while caches are cold.
constexpr int ColdSlowdown = 4;
constexpr const char *RunHeader = "Balsamrack-Run";

Duration millis(uint64_t n) { return std::chrono::milliseconds(n); }

// Id of an attempt: as given by the caller, else the operation's idempotency
// key.
std::string attemptOf(const Message &message) {
  std::string id = headerOf(message.Headers, "X-Caller-Request");
  return id.empty() ? headerOf(message.Headers, "Idempotency-Key") : id;
}

std::string flowOf(const Message &message) {
  std::string id = headerOf(message.Headers, "Balsamrack-Flow");
  return id.empty() ? headerOf(message.Headers, "X-Caller-Address") : id;
}

} // namespace

BackendServer::BackendServer(BackendServerSettings settings)
    : Settings(std::move(settings)),
      Instance(absl::StrCat(Settings.Id, "-", getpid(), "-",
                            Time.now().time_since_epoch().count())),
      ColdUntil(Time.now() + Settings.WarmupTime) {}

Answer BackendServer::serve(const Message &message) {
  std::string path = pathOf(message.Target);
  if (path == "/balsamrack/control")
    return handleControl(message.Body);
  if (path == "/balsamrack/counts")
    return handleCounts();
  if (path == "/balsamrack/cancel")
    return handleCancel(message);
  if (path == "/balsamrack/health")
    return handleHealth();
  Answer a = handleWork(message);
  a.Headers.emplace_back("Balsamrack-Instance", Instance);
  return a;
}

void BackendServer::countPacket(const Message &message) {
  ++Counts.Packets;
  LastPacketAt = Time.now();
  std::string service = headerOf(message.Headers, "X-Caller-Service");
  if (!service.empty())
    ++Counts.Services[service];
}

bool BackendServer::recordFlow(const Message &message) {
  bool isNew = Counts.Flows.insert(flowOf(message)).second;
  uint64_t packet = 1;
  if (!absl::SimpleAtoi(headerOf(message.Headers, "X-Caller-Packet"), &packet))
    packet = 1;
  // A later packet of a flow that was opened at another server: the flow is
  // broken.
  bool unknown = isNew && packet > 1;
  Counts.UnknownFlowPackets += unknown ? 1 : 0;
  return unknown;
}

bool BackendServer::isFull(const std::string &flow) const {
  bool known = Counts.Flows.count(flow) > 0;
  return Counts.InProgress >= Settings.Slots ||
         (!known && Counts.Flows.size() >= Settings.MaxFlows);
}

Answer BackendServer::handleWork(const Message &message) {
  std::unique_lock<std::mutex> lock(Lock);
  countPacket(message);
  Changed.wait(lock, [&] { return !Faults.Freeze; });
  if (isOverloaded())
    return jsonAnswer(500, "{\"error\":\"fallen over\"}");
  if (Faults.Shed || isFull(flowOf(message)))
    return shed();
  bool unknownFlow = recordFlow(message);
  uint64_t runs = Counts.recordStart(attemptOf(message), isCold());
  if (isCold() && Counts.InProgress > Settings.MaxRunsWhileCold) {
    ++Counts.Overloads;
    OverloadedUntil = Time.now() + Settings.OverloadTime;
    Changed.notify_all();
  }
  RunOutcome end = simulateRun(lock, message);
  --Counts.InProgress;
  switch (end) {
  case RunOutcome::Completed:
    return makeRunAnswer(message, runs, unknownFlow);
  case RunOutcome::Cancelled:
    ++Counts.Cancelled;
    return jsonAnswer(499, "{\"error\":\"cancelled\"}");
  case RunOutcome::DeadlineExceeded:
    ++Counts.DeadlinesMissed;
    return jsonAnswer(504, "{\"error\":\"deadline\"}");
  case RunOutcome::Overloaded:
    return jsonAnswer(500, "{\"error\":\"fallen over\"}");
  }
  return jsonAnswer(500, "{}");
}

Answer BackendServer::shed() {
  ++Counts.Sheds;
  Answer a = jsonAnswer(503, "{\"error\":\"shed\"}");
  a.Headers.emplace_back(RunHeader, "no");
  return a;
}

Duration BackendServer::runDuration(const std::string &target) const {
  Duration usual = queryParameter(target, "long", "") == "1"
                       ? Settings.LongRunTime
                       : Settings.RunTime;
  Duration work = millis(numericQueryParameter(
      target, "work_ms", static_cast<uint64_t>(usual.count()) / 1000));
  return (isCold() ? work * ColdSlowdown : work) + Faults.ExtraTime;
}

BackendServer::RunOutcome
BackendServer::simulateRun(std::unique_lock<std::mutex> &lock,
                           const Message &message) {
  using std::chrono::steady_clock;
  std::string request = headerOf(message.Headers, "Balsamrack-Request");
  auto done = steady_clock::now() + runDuration(message.Target);
  auto deadline = steady_clock::time_point::max();
  uint64_t limit = 0;
  if (absl::SimpleAtoi(headerOf(message.Headers, "Request-Timeout"), &limit))
    deadline = steady_clock::now() + millis(limit);
  while (true) {
    if (isOverloaded())
      return RunOutcome::Overloaded;
    auto cancelled = CancelledRequests.find(request);
    if (!request.empty() && cancelled != CancelledRequests.end()) {
      CancelledRequests.erase(cancelled);
      return RunOutcome::Cancelled;
    }
    if (!Faults.Freeze && steady_clock::now() >= done)
      return RunOutcome::Completed;
    if (steady_clock::now() >= deadline)
      return RunOutcome::DeadlineExceeded;
    if (Faults.Freeze)
      Changed.wait(lock);
    else
      Changed.wait_until(lock, std::min(done, deadline));
  }
}

Answer BackendServer::makeRunAnswer(const Message &message, uint64_t runs,
                                    bool unknownFlow) {
  std::string payload =
      message.Body +
      std::string(numericQueryParameter(message.Target, "bytes", 0), 'x');
  std::string request = headerOf(message.Headers, "X-Caller-Request");
  Json body{{"service", Settings.Service},
            {"server", Settings.Id},
            {"domain", Settings.Domain},
            {"instance", Instance},
            {"request", request},
            {"flow", flowOf(message)},
            {"run", runs},
            {"unknown_flow", unknownFlow},
            {"length", payload.size()},
            {"checksum", stableHash(request + payload)}};
  body["payload"] = std::move(payload);
  // Callers may send any bytes; what is not UTF-8 can't be echoed in JSON.
  return jsonAnswer(200,
                    body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

Answer BackendServer::handleControl(const std::string &text) {
  Json command = Json::parse(text, nullptr, false);
  if (!command.is_object())
    return jsonAnswer(400, "{}");
  std::lock_guard<std::mutex> guard(Lock);
  Faults.Shed = command.value("shed", Faults.Shed);
  Faults.Freeze = command.value("freeze", Faults.Freeze);
  Faults.FakeHealth = command.value("lie", Faults.FakeHealth);
  if (command.contains("slow_ms"))
    Faults.ExtraTime = millis(command.value("slow_ms", uint64_t(0)));
  if (command.contains("cold_ms"))
    ColdUntil = Time.now() + millis(command.value("cold_ms", uint64_t(0)));
  Changed.notify_all();
  return jsonAnswer(200, "{}");
}

Answer BackendServer::handleCancel(const Message &message) {
  std::string request = headerOf(message.Headers, "Balsamrack-Request");
  std::lock_guard<std::mutex> guard(Lock);
  if (Counts.InProgress > 0)
    CancelledRequests.insert(request);
  Changed.notify_all();
  return jsonAnswer(200, "{}");
}

Answer BackendServer::handleHealth() {
  std::unique_lock<std::mutex> lock(Lock);
  Changed.wait(lock, [&] { return !Faults.Freeze; });
  bool ready = Faults.FakeHealth || (!isOverloaded() && !Faults.Shed);
  return jsonAnswer(
      200, Json{{"ready", ready},
                {"in_progress", Faults.FakeHealth ? 0 : Counts.InProgress},
                {"instance", Instance}}
               .dump());
}

Answer BackendServer::handleCounts() {
  std::lock_guard<std::mutex> guard(Lock);
  Duration sinceLastPacket =
      LastPacketAt == TimePoint() ? Duration(-1000) : Time.now() - LastPacketAt;
  return jsonAnswer(200, Counts.json(sinceLastPacket.count() / 1000));
}

} // namespace balsamrack::standins
