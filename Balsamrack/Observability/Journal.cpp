#include "Balsamrack/Observability/Journal.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace balsamrack {

namespace {

std::string toHex(uint64_t value) { return absl::StrFormat("%016x", value); }

bool isTicketDecision(const Decision &d) {
  return d.Kind == DecisionKind::TicketApplied ||
         d.Kind == DecisionKind::TicketRejected;
}

/// Formats the subject of a decision, such as " for request ... of flow ...".
std::string formatSubject(const Decision &d) {
  std::string text;
  if (d.Request.Value != 0)
    absl::StrAppend(&text, " request ", toHex(d.Request.Value));
  if (d.Flow.Value != 0)
    absl::StrAppend(&text, text.empty() ? "" : " of", " flow ",
                    toHex(d.Flow.Value));
  return text.empty() ? text : " for" + text;
}

std::string formatInputs(const Decision &d) {
  std::string text;
  for (const auto &[name, value] : d.Inputs)
    absl::StrAppend(&text, text.empty() ? " on " : ", ", name, " = ", value);
  return text;
}

} // namespace

Journal::Journal(size_t capacity)
    : CapacityPerShard(std::max<size_t>(capacity / ShardCount, 1)) {}

void Journal::add(Decision decision) {
  uint64_t key = decision.Flow.Value;
  if (key == 0)
    key = decision.Server.empty() ? decision.Request.Value
                                  : decision.Server.hash();
  Shard &shard = AllShards[combineHash(key, 0) % ShardCount];
  std::lock_guard<std::mutex> guard(shard.Lock);
  shard.Ring.push_back({NextSequence++, std::move(decision)});
  if (shard.Ring.size() > CapacityPerShard)
    shard.Ring.pop_front();
}

std::vector<Decision>
Journal::find(const std::function<bool(const Decision &)> &matches) const {
  std::vector<Entry> found;
  for (const Shard &shard : AllShards) {
    std::lock_guard<std::mutex> guard(shard.Lock);
    for (const Entry &entry : shard.Ring)
      if (matches(entry.Value))
        found.push_back(entry);
  }
  std::sort(found.begin(), found.end(), [](const Entry &a, const Entry &b) {
    return a.Sequence < b.Sequence;
  });
  std::vector<Decision> decisions;
  decisions.reserve(found.size());
  for (Entry &entry : found)
    decisions.push_back(std::move(entry.Value));
  return decisions;
}

std::vector<Decision> Journal::findByRequest(RequestId request) const {
  return find([&](const Decision &d) { return d.Request == request; });
}

std::vector<Decision> Journal::findByFlow(FlowId flow) const {
  return find([&](const Decision &d) { return d.Flow == flow; });
}

std::vector<Decision> Journal::findByServer(const ServerId &server) const {
  return find([&](const Decision &d) { return d.Server == server; });
}

std::vector<Decision> Journal::findByTicket(TicketNumber ticket) const {
  return find([&](const Decision &d) {
    return d.Ticket == ticket && isTicketDecision(d);
  });
}

absl::StatusOr<std::vector<Decision>>
Journal::query(const std::string &kind, const std::string &id) const {
  uint64_t number = 0;
  if (kind == "server")
    return findByServer(ServerId(id));
  if (kind == "request" || kind == "flow") {
    if (!absl::SimpleHexAtoi(id, &number))
      return absl::InvalidArgumentError("the id has to be hex digits");
    return kind == "flow" ? findByFlow({number}) : findByRequest({number});
  }
  if (kind != "ticket")
    return absl::InvalidArgumentError(
        "kind has to be request, flow, server or ticket");
  if (!absl::SimpleAtoi(id, &number))
    return absl::InvalidArgumentError("the id has to be a number");
  return findByTicket({number});
}

std::string decisionSentence(const Decision &decision) {
  std::string text = absl::StrCat(
      decisionKindName(decision.Kind), formatSubject(decision), ": ",
      decision.Result, ", by rule ", decision.Rule, formatInputs(decision),
      ", under ticket ", decision.Ticket.Value);
  if (!decision.AtStep.empty())
    absl::StrAppend(&text, ", at step ", decision.AtStep);
  if (!decision.AtPeer.empty())
    absl::StrAppend(&text, ", on the word of ", decision.AtPeer);
  return text + ".";
}

nlohmann::json decisionToJson(const Decision &decision) {
  nlohmann::json inputs = nlohmann::json::object();
  for (const auto &[name, value] : decision.Inputs)
    inputs[name] = value;
  return {{"at_us", decision.At.time_since_epoch().count()},
          {"kind", decisionKindName(decision.Kind)},
          {"rule", decision.Rule},
          {"result", decision.Result},
          {"request", toHex(decision.Request.Value)},
          {"flow", toHex(decision.Flow.Value)},
          {"server", decision.Server.str()},
          {"ticket", decision.Ticket.Value},
          {"step", decision.AtStep},
          {"peer", decision.AtPeer},
          {"inputs", std::move(inputs)},
          {"sentence", decisionSentence(decision)}};
}

} // namespace balsamrack
