#include "StandIns/LoadReport.h"

#include <algorithm>
#include <chrono>

#include "StandIns/HttpClient.h"
#include "absl/strings/str_cat.h"
#include <nlohmann/json.hpp>

namespace balsamrack::standins {

namespace {

using Json = nlohmann::json;

constexpr size_t MaxFaults = 20;
constexpr auto ReadTimeout = std::chrono::seconds(5);

bool mustNotHaveRun(OutcomeKind how) {
  return how == OutcomeKind::NotRun || how == OutcomeKind::GivenUp;
}

} // namespace

void LoadReport::addFault(const std::string &text) {
  if (Faults.size() < MaxFaults)
    Faults.push_back(text);
}

void LoadReport::countOutcome(OutcomeKind how, const std::string &reason,
                              const std::string &request) {
  ++Requests;
  Answered += how == OutcomeKind::Answered ? 1 : 0;
  Refused += how == OutcomeKind::NotRun ? 1 : 0;
  Unknown += how == OutcomeKind::OutcomeUnknown ? 1 : 0;
  GivenUp += how == OutcomeKind::GivenUp ? 1 : 0;
  if (!request.empty())
    LastRequest = request;
  if (how != OutcomeKind::Answered || SampleRequest.empty())
    SampleRequest = LastRequest;
  if (how != OutcomeKind::Answered)
    ++Reasons[absl::StrCat(outcomeKindName(how), " ", reason)];
}

void LoadReport::countLostFlows(const std::set<std::string> &domainsOut) {
  for (const auto &[domain, count] : LostFlows) {
    if (domain.empty() || domainsOut.count(domain) > 0)
      continue;
    BrokenFlows += count;
    addFault(absl::StrCat(count, " flows given up in ", domain));
  }
}

absl::Status LoadReport::addServerCounts(const Address &at,
                                         const std::string &service) {
  auto text = getHttp(at, "/balsamrack/counts", ReadTimeout);
  if (!text.ok())
    return text.status();
  Json counts = Json::parse(*text, nullptr, false);
  if (!counts.is_object())
    return absl::InternalError("counts are no JSON");
  for (const auto &[attempt, runs] : counts["runs"].items())
    RunsByAttempt[attempt] += runs.get<uint64_t>();
  for (const auto &[name, packets] : counts["services"].items())
    if (name != service)
      WrongService += packets.get<uint64_t>();
  Overloads += counts["fell_over"].get<uint64_t>();
  Sheds += counts["sheds"].get<uint64_t>();
  return absl::OkStatus();
}

void LoadReport::countRunViolations() {
  for (const Operation &op : Operations) {
    uint64_t total = 0;
    for (size_t i = 0; i < op.Outcomes.size(); ++i) {
      std::string attempt = absl::StrCat(op.Id, ".", i + 1);
      auto it = RunsByAttempt.find(attempt);
      uint64_t runs = it == RunsByAttempt.end() ? 0 : it->second;
      total += runs;
      if (runs == 0 || !mustNotHaveRun(op.Outcomes[i]))
        continue;
      ++FalseRefusals;
      addFault(absl::StrCat(attempt, " ", outcomeKindName(op.Outcomes[i]),
                            ", but ", runs, " runs"));
    }
    if (!op.RunOnce || total <= 1)
      continue;
    ++RunTwice;
    addFault(absl::StrCat(op.Id, " may run once, but has ", total, " runs"));
  }
}

uint32_t LoadReport::quantile(double fraction) const {
  if (AnswerMillis.empty())
    return 0;
  std::vector<uint32_t> sorted = AnswerMillis;
  std::sort(sorted.begin(), sorted.end());
  auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(last * fraction)];
}

std::string LoadReport::summaryLine() const {
  return absl::StrCat("requests=", Requests, " answered=", Answered,
                      " refused=", Refused, " unknown=", Unknown,
                      " given_up=", GivenUp, " broken_flows=", BrokenFlows,
                      " wrong_service=", WrongService,
                      " wrong_answer=", WrongAnswer, " run_twice=", RunTwice,
                      " untrue_refusals=", FalseRefusals);
}

std::string LoadReport::toJson() const {
  return Json{{"requests", Requests},
              {"answered", Answered},
              {"refused", Refused},
              {"unknown", Unknown},
              {"given_up", GivenUp},
              {"broken_flows", BrokenFlows},
              {"wrong_service", WrongService},
              {"wrong_answer", WrongAnswer},
              {"run_twice", RunTwice},
              {"untrue_refusals", FalseRefusals},
              {"flows", Flows},
              {"unanswered", Unanswered},
              {"server_errors", ServerErrors},
              {"fell_over", Overloads},
              {"sheds", Sheds},
              {"reasons", Reasons},
              {"lost_flows", LostFlows},
              {"last_request", LastRequest},
              {"sample_request", SampleRequest},
              {"p50_ms", quantile(0.5)},
              {"p99_ms", quantile(0.99)},
              {"max_ms", quantile(1)},
              {"faults", Faults}}
      .dump(1);
}

bool LoadReport::isClean() const {
  return BrokenFlows == 0 && WrongService == 0 && WrongAnswer == 0 &&
         RunTwice == 0 && FalseRefusals == 0;
}

} // namespace balsamrack::standins
