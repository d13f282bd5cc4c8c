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

/// Maximum attempts of an operation; the caller then sends its next request.
constexpr uint32_t MaxAttempts = 30;
/// Upper limit for the pause before a retry.
constexpr auto MaxRetryPause = std::chrono::milliseconds(1500);
/// Pause before a retry if the answer states none.
constexpr auto DefaultRetryPause = std::chrono::milliseconds(100);
/// A caller waits this much longer than the remaining time that it sends.
constexpr auto TimeoutMargin = std::chrono::seconds(3);
/// Id that the system gives to an attempt.
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
  // Answer of the fabric itself: it could not connect to any daemon.
  if (headerOf(answer.Headers, "X-Fabric") == "not-sent")
    return OutcomeKind::NotRun;
  // Answer of a stand-in server that is called without a daemon in between.
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
  // Each flow has its own port; the address identifies the caller.
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
  // Three in five of the run-once requests have an idempotency key.
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

// Checks that the answer is complete, belongs to the request, and comes from
// the right service and from the server of the flow.
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
  // A flow without any answer is not established: open another one.
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
  // Half of the operations with unknown outcome are retried: they must not run
  // a second time. runOperation() excludes those without an idempotency key,
  // which could legitimately run twice.
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
    // Continue the same operation on a new flow.
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
  // Sleep between half of the limit and all of it, so that callers don't retry
  // in sync.
  auto half = static_cast<uint64_t>(limit.count() / 2);
  std::this_thread::sleep_for(Duration(half + Random.below(half + 1)));
}

} // namespace balsamrack::standins
