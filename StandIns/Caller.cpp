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
constexpr auto MaxPause = std::chrono::milliseconds(1500);
/// Pause when no time to come back was told.
constexpr auto DefaultPause = std::chrono::milliseconds(100);
/// A caller waits a little longer than the remaining time that it states.
constexpr auto Grace = std::chrono::seconds(3);
/// The system's id of an attempt.
constexpr const char *RequestHeader = "Balsamrack-Request";
constexpr uint32_t MaxBytes = 20'000;
constexpr uint32_t FirstCallerPort = 1024;
constexpr uint32_t CallerPorts = 60'000;

OutcomeKind endingOf(const Answer &answer) {
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

Caller::Caller(const CallSettings &settings, CallBoard &board, uint32_t number)
    : Settings(settings), Board(board), Number(number),
      Random(combineHash(settings.Seed, number)) {}

void Caller::run() {
  while (!Board.Stop) {
    openFlow(Settings.Targets[Random.below(Settings.Targets.size())]);
    serveFlow();
  }
}

void Caller::openFlow(const CallTarget &to) {
  Open = Flow();
  Open.To = &to;
  // A port of its own for each flow; the address is one of the caller's.
  Open.Address = absl::StrCat("10.", Settings.Seed % 200, ".", Number / 250,
                              ".", 1 + Number % 250, ":",
                              FirstCallerPort + (FlowCount++ % CallerPorts));
  std::lock_guard<std::mutex> guard(Board.Lock);
  ++Board.Report.Flows;
}

void Caller::serveFlow() {
  while (!Board.Stop && !Open.Over && Open.Packet <= Settings.Packets) {
    operate();
    pause(Settings.Think);
  }
}

Message Caller::shape(Operation &op) {
  Message m;
  uint64_t dice = Random.below(100);
  op.RunOnce = dice >= 50;
  m.Method = op.RunOnce ? "POST" : "GET";
  bool isLong = Random.below(100) < Settings.LongPercent;
  m.Target = absl::StrCat("/work?bytes=", Random.below(MaxBytes),
                          isLong ? "&long=1" : "");
  if (op.RunOnce)
    m.Body = absl::StrCat("body of ", op.Id, " ",
                          std::string(Random.below(MaxBytes), 'b'));
  // Three in five of the run-once requests carry a key.
  if (dice >= 70)
    m.Headers.emplace_back("Idempotency-Key", absl::StrCat("key-", op.Id));
  m.Headers.emplace_back("X-Caller-Service", Open.To->Service);
  m.Headers.emplace_back(
      "Request-Timeout",
      absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(
                       Settings.Timeout)
                       .count()));
  return m;
}

Message Caller::request(const Operation &op, uint32_t attempt,
                        const Message &shape) {
  Message m = shape;
  m.Headers.emplace_back("X-Caller-Request", absl::StrCat(op.Id, ".", attempt));
  m.Headers.emplace_back("X-Caller-Address", Open.Address);
  m.Headers.emplace_back("X-Caller-Packet", absl::StrCat(Open.Packet));
  m.Headers.emplace_back("Balsamrack-Packet", absl::StrCat(Open.Packet));
  if (Settings.Token && !Open.Token.empty())
    m.Headers.emplace_back("Balsamrack-Token", Open.Token);
  return m;
}

Caller::Attempt Caller::send(const Message &message) {
  Attempt got;
  auto answer = sendHttp(Open.To->At, message, Settings.Timeout + Grace);
  if (!answer.ok()) {
    bool never = absl::IsUnavailable(answer.status());
    got.How = never ? OutcomeKind::NotRun : OutcomeKind::OutcomeUnknown;
    got.Why = never ? "no-connection" : "connection-broke";
    return got;
  }
  got.How = endingOf(*answer);
  got.Why = headerOf(answer->Headers, "Balsamrack-Reason");
  if (got.Why.empty())
    got.Why = absl::StrCat("status-", answer->Status);
  uint64_t ms = 0;
  if (absl::SimpleAtoi(headerOf(answer->Headers, "Balsamrack-Retry-After-Ms"),
                       &ms))
    got.Pause = std::chrono::milliseconds(ms);
  got.Content = *std::move(answer);
  return got;
}

void Caller::breakFlow(const std::string &why) {
  Open.Over = true;
  ++Board.Report.BrokenFlows;
  Board.Report.addFault(absl::StrCat("flow ", Open.Address, " ", why));
}

// Whole, of the right service, its own, and from the flow's one server.
void Caller::checkAnswer(const Operation &op, const Message &sent,
                         const Attempt &got) {
  if (got.Content.Status != 200) {
    ++Board.Report.ServerErrors;
    ++Board.Report.Reasons[absl::StrCat("answered ", got.Content.Status)];
    return;
  }
  Json body = Json::parse(got.Content.Body, nullptr, false);
  std::string request = headerOf(sent.Headers, "X-Caller-Request");
  std::string payload =
      sent.Body + std::string(numberOf(sent.Target, "bytes", 0), 'x');
  if (!body.is_object() || body["request"] != request ||
      body["payload"] != payload ||
      body["checksum"] != stableHash(request + payload)) {
    ++Board.Report.WrongAnswer;
    Board.Report.addFault(absl::StrCat("wrong answer to ", request));
    return;
  }
  if (body["service"] != op.Service) {
    ++Board.Report.WrongService;
    Board.Report.addFault(absl::StrCat("wrong service answered ", request));
    return;
  }
  std::string server = body["server"];
  if (Open.Server.empty()) {
    Open.Server = server;
    Open.Domain = body["domain"];
  }
  if (server != Open.Server)
    breakFlow(absl::StrCat("moved from ", Open.Server, " to ", server, " by ",
                           headerOf(got.Content.Headers, RequestHeader)));
  else if (body["unknown_flow"] == true)
    breakFlow(absl::StrCat("was not known at ", server, " by ",
                           headerOf(got.Content.Headers, RequestHeader)));
}

void Caller::note(const Operation &op, const Message &sent, const Attempt &got,
                  Duration took) {
  std::lock_guard<std::mutex> guard(Board.Lock);
  LoadReport &report = Board.Report;
  report.countEnding(got.How, got.Why,
                     headerOf(got.Content.Headers, RequestHeader));
  if (got.How == OutcomeKind::Answered) {
    Open.Token = headerOf(got.Content.Headers, "Balsamrack-Token");
    report.Millis.push_back(static_cast<uint32_t>(took.count() / 1000));
    checkAnswer(op, sent, got);
  }
  if (got.How == OutcomeKind::GivenUp) {
    Open.Over = true;
    ++report.LostFlows[Open.Domain];
  }
  // A flow that was never answered is not established: open another.
  if (got.How == OutcomeKind::OutcomeUnknown && Open.Server.empty())
    Open.Over = true;
}

bool Caller::again(const Operation &op, const Attempt &got) {
  if (Board.Stop || op.Endings.size() >= MaxAttempts)
    return false;
  if (got.How == OutcomeKind::NotRun || got.How == OutcomeKind::GivenUp)
    return true;
  // Half of the unknown operations with a key are asked again: they must not
  // run a second time. Without a key that would be the caller's own fault.
  return got.How == OutcomeKind::OutcomeUnknown && op.Endings.size() < 3 &&
         Random.below(2) == 0;
}

void Caller::operate() {
  Operation op;
  op.Id = absl::StrCat("s", Settings.Seed, "c", Number, "o", ++OperationCount);
  op.Service = Open.To->Service;
  const Message shaped = shape(op);
  const bool keyed = !headerOf(shaped.Headers, "Idempotency-Key").empty();
  bool answered = false;
  SystemClock clock;
  while (true) {
    Message m =
        request(op, static_cast<uint32_t>(op.Endings.size()) + 1, shaped);
    TimePoint from = clock.now();
    Attempt got = send(m);
    op.Endings.push_back(got.How);
    note(op, m, got, clock.now() - from);
    answered |= got.How == OutcomeKind::Answered;
    if (!again(op, got) || (got.How == OutcomeKind::OutcomeUnknown && !keyed))
      break;
    // A new flow carries on with the same operation.
    if (Open.Over)
      openFlow(*Open.To);
    pause(got.Pause.count() > 0 ? got.Pause : Duration(DefaultPause));
  }
  if (answered)
    ++Open.Packet;
  std::lock_guard<std::mutex> guard(Board.Lock);
  Board.Report.Unanswered += answered ? 0 : 1;
  Board.Report.Operations.push_back(std::move(op));
}

void Caller::pause(Duration atMost) {
  Duration longest = std::min<Duration>(atMost, MaxPause);
  // Between half and the whole, so that callers don't come back as one.
  auto half = static_cast<uint64_t>(longest.count() / 2);
  std::this_thread::sleep_for(Duration(half + Random.below(half + 1)));
}

} // namespace balsamrack::standins
