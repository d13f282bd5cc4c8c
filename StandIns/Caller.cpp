#include "StandIns/Caller.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "Balsamrack/Core/Ids.h"
#include "StandIns/HttpClient.h"
#include "StandIns/HttpServer.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include <nlohmann/json.hpp>

namespace balsamrack::standins {

namespace {

using Json = nlohmann::json;

/// Attempts of one operation; a caller then turns to its next request.
constexpr uint32_t MaxAttempts = 30;
/// Longest pause that a caller accepts before it asks again.
constexpr auto MaxRetryPause = std::chrono::milliseconds(1500);
/// Pause when no time to come back was told.
constexpr auto DefaultRetryPause = std::chrono::milliseconds(100);
/// A caller waits a little longer than the remaining time that it states.
constexpr auto TimeoutMargin = std::chrono::seconds(3);
/// The system's id of an attempt.
constexpr const char *RequestHeader = "Balsamrack-Request";
constexpr uint32_t MaxBodyBytes = 20'000;
constexpr uint32_t FirstCallerPort = 1024;
constexpr uint32_t CallerPortCount = 60'000;

OutcomeKind outcomeOf(const Answer &answer) {
  std::string name = headerOf(answer.Headers, "Balsamrack-Ending");
  for (OutcomeKind how :
       {OutcomeKind::Answered, OutcomeKind::NotRun, OutcomeKind::GivenUp})
    if (name == outcomeKindName(how))
      return how;
  // The fabric's own answer: a daemon was gone before it could be told.
  if (headerOf(answer.Headers, "X-Fabric") == "not-sent")
    return OutcomeKind::NotRun;
  // A stand-in server that is called without a daemon between.
  if (name.empty() && headerOf(answer.Headers, "Balsamrack-Run") == "no")
    return OutcomeKind::NotRun;
  if (name.empty() && answer.Status < 500)
    return OutcomeKind::Answered;
  return OutcomeKind::OutcomeUnknown;
}

} // namespace

Caller::Caller(const CallSettings &settings, SharedLoadState &shared,
               uint32_t number)
    : Settings(settings), Shared(shared), Number(number),
      Random(combineHash(settings.Seed, number)) {}

void Caller::run() {
  while (!Shared.Stop) {
    openFlow(Settings.Targets[Random.below(Settings.Targets.size())]);
    runFlow();
  }
}

void Caller::openFlow(const CallTarget &target) {
  CurrentFlow = Flow();
  CurrentFlow.Target = &target;
  // A port of its own for each flow; the address is one of the caller's.
  CurrentFlow.CallerAddress = absl::StrCat(
      "10.", Settings.Seed % 200, ".", Number / 250, ".", 1 + Number % 250, ":",
      FirstCallerPort + (FlowCount++ % CallerPortCount));
  std::lock_guard<std::mutex> guard(Shared.Lock);
  ++Shared.Report.Flows;
}

void Caller::runFlow() {
  while (!Shared.Stop && !CurrentFlow.Ended &&
         CurrentFlow.NextPacket <= Settings.PacketsPerFlow) {
    runOperation();
    sleepRandomly(Settings.MaxThinkTime);
  }
}

Message Caller::makeOperation(Operation &op) {
  Message m;
  uint64_t percent = Random.below(100);
  op.RunOnce = percent >= 50;
  m.Method = op.RunOnce ? "POST" : "GET";
  bool isLong = Random.below(100) < Settings.LongRunPercent;
  m.Target = absl::StrCat("/work?bytes=", Random.below(MaxBodyBytes),
                          isLong ? "&long=1" : "");
  if (op.RunOnce)
    m.Body = absl::StrCat("body of ", op.Id, " ",
                          std::string(Random.below(MaxBodyBytes), 'b'));
  // Three in five of the run-once requests carry a key.
  if (percent >= 70)
    m.Headers.emplace_back("Idempotency-Key", absl::StrCat("key-", op.Id));
  m.Headers.emplace_back("X-Caller-Service", CurrentFlow.Target->Service);
  m.Headers.emplace_back(
      "Request-Timeout",
      absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(
                       Settings.Timeout)
                       .count()));
  return m;
}

Message Caller::makeAttempt(const Operation &op, uint32_t attempt,
                            const Message &operationMessage) {
  Message m = operationMessage;
  m.Headers.emplace_back("X-Caller-Request", absl::StrCat(op.Id, ".", attempt));
  m.Headers.emplace_back("X-Caller-Address", CurrentFlow.CallerAddress);
  m.Headers.emplace_back("X-Caller-Packet",
                         absl::StrCat(CurrentFlow.NextPacket));
  m.Headers.emplace_back("Balsamrack-Packet",
                         absl::StrCat(CurrentFlow.NextPacket));
  if (Settings.ReturnsToken && !CurrentFlow.Token.empty())
    m.Headers.emplace_back("Balsamrack-Token", CurrentFlow.Token);
  return m;
}

Caller::Attempt Caller::sendAttempt(const Message &message) {
  Attempt attempt;
  auto answer = sendHttp(CurrentFlow.Target->FabricAddress, message,
                         Settings.Timeout + TimeoutMargin);
  if (!answer.ok()) {
    bool notSent = absl::IsUnavailable(answer.status());
    attempt.Outcome =
        notSent ? OutcomeKind::NotRun : OutcomeKind::OutcomeUnknown;
    attempt.Reason = notSent ? "no-connection" : "connection-broke";
    return attempt;
  }
  attempt.Outcome = outcomeOf(*answer);
  attempt.Reason = headerOf(answer->Headers, "Balsamrack-Reason");
  if (attempt.Reason.empty())
    attempt.Reason = absl::StrCat("status-", answer->Status);
  uint64_t ms = 0;
  if (absl::SimpleAtoi(headerOf(answer->Headers, "Balsamrack-Retry-After-Ms"),
                       &ms))
    attempt.RetryAfter = std::chrono::milliseconds(ms);
  attempt.Response = *std::move(answer);
  return attempt;
}

void Caller::recordBrokenFlow(const std::string &reason) {
  CurrentFlow.Ended = true;
  ++Shared.Report.BrokenFlows;
  Shared.Report.addFault(
      absl::StrCat("flow ", CurrentFlow.CallerAddress, " ", reason));
}

// Whole, of the right service, its own, and from the flow's one server.
void Caller::checkAnswer(const Operation &op, const Message &sent,
                         const Attempt &attempt) {
  if (attempt.Response.Status != 200) {
    ++Shared.Report.ServerErrors;
    ++Shared.Report.Reasons[absl::StrCat("answered ", attempt.Response.Status)];
    return;
  }
  Json body = Json::parse(attempt.Response.Body, nullptr, false);
  std::string request = headerOf(sent.Headers, "X-Caller-Request");
  std::string payload =
      sent.Body +
      std::string(numericQueryParameter(sent.Target, "bytes", 0), 'x');
  if (!body.is_object() || body["request"] != request ||
      body["payload"] != payload ||
      body["checksum"] != stableHash(request + payload)) {
    ++Shared.Report.WrongAnswer;
    Shared.Report.addFault(absl::StrCat("wrong answer to ", request));
    return;
  }
  if (body["service"] != op.Service) {
    ++Shared.Report.WrongService;
    Shared.Report.addFault(absl::StrCat("wrong service answered ", request));
    return;
  }
  std::string server = body["server"];
  if (CurrentFlow.Server.empty()) {
    CurrentFlow.Server = server;
    CurrentFlow.Domain = body["domain"];
  }
  if (server != CurrentFlow.Server)
    recordBrokenFlow(
        absl::StrCat("moved from ", CurrentFlow.Server, " to ", server, " by ",
                     headerOf(attempt.Response.Headers, RequestHeader)));
  else if (body["unknown_flow"] == true)
    recordBrokenFlow(
        absl::StrCat("was not known at ", server, " by ",
                     headerOf(attempt.Response.Headers, RequestHeader)));
}

void Caller::recordAttempt(const Operation &op, const Message &sent,
                           const Attempt &attempt, Duration took) {
  std::lock_guard<std::mutex> guard(Shared.Lock);
  LoadReport &report = Shared.Report;
  report.countOutcome(attempt.Outcome, attempt.Reason,
                      headerOf(attempt.Response.Headers, RequestHeader));
  if (attempt.Outcome == OutcomeKind::Answered) {
    CurrentFlow.Token = headerOf(attempt.Response.Headers, "Balsamrack-Token");
    report.AnswerMillis.push_back(static_cast<uint32_t>(took.count() / 1000));
    checkAnswer(op, sent, attempt);
  }
  if (attempt.Outcome == OutcomeKind::GivenUp) {
    CurrentFlow.Ended = true;
    ++report.LostFlows[CurrentFlow.Domain];
  }
  // A flow that was never answered is not established: open another.
  if (attempt.Outcome == OutcomeKind::OutcomeUnknown &&
      CurrentFlow.Server.empty())
    CurrentFlow.Ended = true;
}

bool Caller::shouldRetry(const Operation &op, const Attempt &attempt) {
  if (Shared.Stop || op.Outcomes.size() >= MaxAttempts)
    return false;
  if (attempt.Outcome == OutcomeKind::NotRun ||
      attempt.Outcome == OutcomeKind::GivenUp)
    return true;
  // Half of the unknown operations with a key are asked again: they must not
  // run a second time. Without a key that would be the caller's own fault.
  return attempt.Outcome == OutcomeKind::OutcomeUnknown &&
         op.Outcomes.size() < 3 && Random.below(2) == 0;
}

void Caller::runOperation() {
  Operation op;
  op.Id = absl::StrCat("s", Settings.Seed, "c", Number, "o", ++OperationCount);
  op.Service = CurrentFlow.Target->Service;
  const Message operationMessage = makeOperation(op);
  const bool hasKey =
      !headerOf(operationMessage.Headers, "Idempotency-Key").empty();
  bool answered = false;
  SystemClock clock;
  while (true) {
    Message m = makeAttempt(op, static_cast<uint32_t>(op.Outcomes.size()) + 1,
                            operationMessage);
    TimePoint from = clock.now();
    Attempt attempt = sendAttempt(m);
    op.Outcomes.push_back(attempt.Outcome);
    recordAttempt(op, m, attempt, clock.now() - from);
    answered |= attempt.Outcome == OutcomeKind::Answered;
    if (!shouldRetry(op, attempt) ||
        (attempt.Outcome == OutcomeKind::OutcomeUnknown && !hasKey))
      break;
    // A new flow carries on with the same operation.
    if (CurrentFlow.Ended)
      openFlow(*CurrentFlow.Target);
    sleepRandomly(attempt.RetryAfter.count() > 0 ? attempt.RetryAfter
                                                 : Duration(DefaultRetryPause));
  }
  if (answered)
    ++CurrentFlow.NextPacket;
  std::lock_guard<std::mutex> guard(Shared.Lock);
  Shared.Report.Unanswered += answered ? 0 : 1;
  Shared.Report.Operations.push_back(std::move(op));
}

void Caller::sleepRandomly(Duration maxTime) {
  Duration limit = std::min<Duration>(maxTime, MaxRetryPause);
  // Between half and the whole, so that callers don't come back as one.
  auto half = static_cast<uint64_t>(limit.count() / 2);
  std::this_thread::sleep_for(Duration(half + Random.below(half + 1)));
}

} // namespace balsamrack::standins
